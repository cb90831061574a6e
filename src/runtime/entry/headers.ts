/** Selects the headers that the router forwards. */
import {type IncomingHttpHeaders} from 'node:http';
import {hasNoBody} from '../http/no-body.js';
import {type Headers} from './job.js';

/** Headers that concern one connection only. */
const hopByHop: ReadonlySet<string> = new Set([
	'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'proxy-connection', 'expect',
]);

/** Headers of the caller that the router consumes or sets itself. */
const notForTarget: ReadonlySet<string> = new Set([
	'host', 'authorization', 'content-length', 'x-request-id', 'x-deadline-ms', 'x-cost-hint', 'x-fencing-epoch',
]);

/** Headers of the target that the router sets itself or does not reveal to callers. */
const notForCaller: ReadonlySet<string> = new Set(['x-request-id', 'x-instance-id', 'content-length', 'date']);

/** Returns all headers but the dropped ones and those that concern one connection only. */
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

/** Returns the caller's headers that are forwarded to the target; its token is not among them. */
export const headersForTarget = (headers: IncomingHttpHeaders): Headers => passHeaders(headers, notForTarget);

/** Returns the target's headers that are forwarded to the caller. */
export const headersForCaller = (headers: IncomingHttpHeaders): Headers => passHeaders(headers, notForCaller);

/** Returns the value of a header, or undefined when the header is absent or is an array of values. */
export const oneHeader = (headers: IncomingHttpHeaders, name: string): string | undefined => {
	const value = headers[name];
	return typeof value === 'string' ? value : undefined;
};

/** Returns the header with the length of a response whose whole body is known. For HEAD it is the length that the target declares for GET. */
export const lengthHeader = (method: string, {status, headers}: {readonly status: number; readonly headers: IncomingHttpHeaders}, bodyBytes: number): Headers => {
	const length = method === 'HEAD' ? oneHeader(headers, 'content-length') : String(bodyBytes);
	return hasNoBody(status) || length === undefined ? {} : {'content-length': length};
};
