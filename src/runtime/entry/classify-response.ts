/** Decides from status and headers what a target's answer is. */
import {type IncomingHttpHeaders} from 'node:http';
import {oneHeader} from './headers.js';

/** `overloaded` and `fenced` mean that nothing ran; `unidentified` and `crossed` are not used. */
export type ResponseKind = 'answer' | 'overloaded' | 'fenced' | 'unidentified' | 'crossed';

/** Checks the echoed request id first: an answer of another request says nothing about this one. */
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
