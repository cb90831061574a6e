/** Sends one attempt of a request and checks its response. */
import {createParser} from 'eventsource-parser';
import {request, type Dispatcher} from 'undici';
import {asError} from '../../standins/shared/as-error.js';
import {checkBody, readRefusal} from './check-response.js';
import {StreamCheck} from './stream-check.js';
import {type Attempt, type RequestPlan} from './types.js';

const headerOf = (res: Dispatcher.ResponseData, name: string): string => String(res.headers[name] ?? '');

const readStream = async (plan: RequestPlan, res: Dispatcher.ResponseData, requestId: string): Promise<Attempt> => {
	const check = new StreamCheck(plan, requestId);
	const parser = createParser({
		onEvent({data}) {
			check.recordEvent(data);
		},
	});
	const decoder = new TextDecoder();
	for await (const chunk of res.body as AsyncIterable<Uint8Array>) {
		parser.feed(decoder.decode(chunk, {stream: true}));
	}

	return check.finish();
};

const readResponse = async (plan: RequestPlan, res: Dispatcher.ResponseData, requestId: string): Promise<Attempt> => {
	if (res.statusCode !== 200) {
		return readRefusal(await res.body.text(), res.statusCode, requestId);
	}

	if (headerOf(res, 'content-type').startsWith('text/event-stream')) {
		return readStream(plan, res, requestId);
	}

	return checkBody(plan, await res.body.text(), requestId, Number(headerOf(res, 'x-cost') || 1));
};

const CONNECT_FAULTS = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT']);

const isConnectFault = (err: unknown): boolean =>
	err instanceof Error && 'code' in err && CONNECT_FAULTS.has(String(err.code));

/**
 * Sends the request to one router. Never throws: a failed connection gives an attempt of kind
 * `unreachable` or `broken`, a response that is not complete within `timeoutMs` one of kind `lost`.
 */
export const sendRequest = async (plan: RequestPlan, router: string, dispatcher: Dispatcher, timeoutMs: number): Promise<Attempt> => {
	const signal = AbortSignal.timeout(Math.ceil(timeoutMs));
	let requestId = '';
	try {
		const res = await request(`http://${router}${plan.path}`, {
			dispatcher, signal, method: plan.method, headers: plan.headers, body: plan.body ?? null,
		});
		requestId = headerOf(res, 'x-request-id');
		return await readResponse(plan, res, requestId);
	} catch (error) {
		if (signal.aborted) {
			return {kind: 'lost', requestId, detail: `response not complete within ${Math.round(timeoutMs)} ms`};
		}

		const {message} = asError(error);
		return {kind: isConnectFault(error) ? 'unreachable' : 'broken', requestId, detail: message};
	}
};
