/** Which headers pass through the router. */
import {type IncomingHttpHeaders} from 'node:http';
import {type Headers} from './job.js';

/** Headers that concern one connection only. */
const hopByHop: ReadonlySet<string> = new Set([
	'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'proxy-connection', 'expect',
]);

/** Headers of the caller that the router uses up or sets itself. */
const notForTarget: ReadonlySet<string> = new Set([
	'host', 'authorization', 'content-length', 'x-request-id', 'x-deadline-ms', 'x-cost-hint', 'x-fencing-epoch',
]);

/** Headers of the target that the router sets itself or keeps to itself. */
const notForCaller: ReadonlySet<string> = new Set(['x-request-id', 'x-instance-id', 'content-length', 'date']);

/** All headers but the dropped ones and those that concern one connection only. */
export const passHeaders = (headers: IncomingHttpHeaders, dropped: ReadonlySet<string>): Headers => {
	const passed: Record<string, string | string[]> = {};
	for (const name in headers) {
		if (Object.hasOwn(headers, name) && !hopByHop.has(name) && !dropped.has(name)) {
			const value = headers[name];
			if (value !== undefined) {
				passed[name] = value;
			}
		}
	}

	return passed;
};

/** Headers that go on to the target. The caller's token does not. */
export const headersForTarget = (headers: IncomingHttpHeaders): Headers => passHeaders(headers, notForTarget);

/** Headers that go on to the caller. */
export const headersForCaller = (headers: IncomingHttpHeaders): Headers => passHeaders(headers, notForCaller);

/** A single header value, or undefined when it is absent or repeated. */
export const oneHeader = (headers: IncomingHttpHeaders, name: string): string | undefined => {
	const value = headers[name];
	return typeof value === 'string' ? value : undefined;
};
