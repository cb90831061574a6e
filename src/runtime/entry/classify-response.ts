/** Classifies a target's response by its status and headers. */
import {type IncomingHttpHeaders} from 'node:http';
import {oneHeader} from './headers.js';

/**
 * With `overloaded` and `fenced` the target rejected the request before execution; with `fenced`,
 * because of an outdated fencing epoch. An `unidentified` response has no request id, and a
 * `crossed` one has the id of another request. Both are discarded.
 */
export type ResponseKind = 'answer' | 'overloaded' | 'fenced' | 'unidentified' | 'crossed';

/** Classifies a response. The echoed request id is checked first, since a response to another request says nothing about this one. */
export const classifyResponse = (requestId: string, status: number, headers: IncomingHttpHeaders): ResponseKind => {
	const echoed = oneHeader(headers, 'x-request-id');
	if (echoed !== requestId) {
		return echoed === undefined ? 'unidentified' : 'crossed';
	}

	if (status === 503 && headers['x-overloaded'] === '1') {
		return 'overloaded';
	}

	return status === 409 && headers['x-fencing-refused'] === '1' ? 'fenced' : 'answer';
};
