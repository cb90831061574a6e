/** Formats refusals for callers: as a JSON body, as a stream event, or as raw HTTP. */
import {Buffer} from 'node:buffer';
import {STATUS_CODES, type ServerResponse} from 'node:http';
import {type RefusalError} from '../../core/errors/refusal-error.js';

/** Returns the machine-readable form of a refusal. */
export const refusalBody = (err: RefusalError, requestId: string): string => JSON.stringify({
	error: {
		name: err.data.name,
		title: err.data.title,
		message: err.data.message(err.details),
		hint: err.data.hint,
		not_run: err.notRun,
		retryable: err.data.retryable,
		retry_after_ms: err.retryAfterMs === undefined ? null : Math.ceil(err.retryAfterMs),
		request_id: requestId,
	},
});

const retryAfter = (err: RefusalError): Readonly<Record<string, string>> =>
	err.retryAfterMs === undefined ? {} : {'retry-after': String(Math.max(1, Math.ceil(err.retryAfterMs / 1000)))};

/** Sends a refusal as the response, of which nothing may have been written yet. */
export const writeRefusal = (res: ServerResponse, err: RefusalError, requestId: string): void => {
	const body = refusalBody(err, requestId);
	res.writeHead(err.data.status, {
		'content-type': 'application/json',
		'content-length': Buffer.byteLength(body),
		'x-request-id': requestId,
		...(err.data.status === 401 && {'www-authenticate': 'Bearer'}),
		...retryAfter(err),
	});
	res.end(body);
};

/** Returns the event that ends a stream which cannot be completed. No end mark follows it. */
export const errorEvent = (err: RefusalError, requestId: string): string =>
	`event: error\ndata: ${refusalBody(err, requestId)}\n\n`;

/** Returns a complete HTTP response for requests that the HTTP parser itself rejects. */
export const rawRefusal = (err: RefusalError, requestId: string): string => {
	const {status} = err.data;
	const body = refusalBody(err, requestId);
	const headers = [
		`HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}`,
		'content-type: application/json',
		`content-length: ${Buffer.byteLength(body)}`,
		`x-request-id: ${requestId}`,
		'connection: close',
	];
	return `${headers.join('\r\n')}\r\n\r\n${body}`;
};
