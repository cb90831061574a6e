/** HTTP calls to the platform. A failed call states whether it may have taken effect. */
import {type Dispatcher, errors} from 'undici';
import {readText} from '../http/read-text.js';
import {callWithin, CallTimeout} from './call-within.js';
import {type RenewablePool} from './renewable-pool.js';
import {type RateLimited, type Unavailable} from './types.js';

export type HttpCall = {
	readonly method: 'GET' | 'POST' | 'PUT';
	readonly path: string;
	readonly body?: string;
	readonly contentType?: string;
};

export type HttpResponse = {
	readonly kind: 'answer';
	readonly status: number;
	readonly body: string;
};

/** The result of a call. `lost` is true if the call may have reached the platform. */
export type HttpResult = HttpResponse | RateLimited | (Unavailable & {readonly lost: boolean});

/** Largest response in bytes that is read; a page of rows has a few MB. */
const MAX_RESPONSE_BYTES = 67_108_864;

const TOO_MANY_REQUESTS = 429;
const SERVICE_UNAVAILABLE = 503;
const MS_PER_SECOND = 1000;

const retryAfterMs = (headers: Dispatcher.ResponseData['headers']): number | undefined => {
	const seconds = Number(headers['retry-after']);
	return Number.isFinite(seconds) ? seconds * MS_PER_SECOND : undefined;
};

/** Codes of errors that occur before the first byte of the request is sent. */
const UNSENT_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

const codeOf = (err: unknown): string =>
	typeof err === 'object' && err !== null && 'code' in err ? String(err.code) : '';

const toFailure = (err: unknown): HttpResult => {
	const isTimeout = err instanceof errors.HeadersTimeoutError
		|| err instanceof errors.BodyTimeoutError
		|| err instanceof CallTimeout;
	return {
		kind: 'unavailable',
		reason: isTimeout ? 'timeout' : 'connection',
		lost: !UNSENT_CODES.has(codeOf(err)),
	};
};

/** Sends one call. Never rejects. */
export const exchange = async (pool: RenewablePool, call: HttpCall, timeoutMs: number): Promise<HttpResult> => {
	try {
		const {res, body} = await callWithin(timeoutMs, async signal => pool.use(signal, async connections => {
			const res = await connections.request({
				method: call.method,
				path: call.path,
				...(call.body !== undefined && {body: call.body, headers: {'content-type': call.contentType ?? 'application/json'}}),
				signal,
			});
			return {res, body: await readText(res.body, MAX_RESPONSE_BYTES)};
		}));
		if (res.statusCode === TOO_MANY_REQUESTS) {
			return {kind: 'rate_limited', retryAfterMs: retryAfterMs(res.headers)};
		}

		if (res.statusCode === SERVICE_UNAVAILABLE) {
			return {kind: 'unavailable', reason: 'outage', lost: false};
		}

		return {kind: 'answer', status: res.statusCode, body};
	} catch (error) {
		return toFailure(error);
	}
};
