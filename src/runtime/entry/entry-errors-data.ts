/** Errors that occur inside the entry. Callers never receive them as such. */
import {type ErrorData} from '../../core/errors/types.js';

export const CallDropped = {
	name: 'CallDropped',
	title: 'A call to a target was dropped.',
	message: () => 'The call was dropped by the router.',
	hint: 'No action is needed: the request was withdrawn, cancelled or submitted again.',
} as const satisfies ErrorData;

export const ForeignResponse = {
	name: 'ForeignResponse',
	title: 'A target sent another response inside the body of a response.',
	message: () => 'The body contains the head of another response. The call is aborted, and no further byte of the body is used.',
	hint: 'Check whether the target sends responses twice; the request is retried where that is allowed.',
} as const satisfies ErrorData;

export const ConnectionReset = {
	name: 'ConnectionReset',
	title: 'A connection to a target was reset.',
	message: () => 'The target reset the connection, possibly in the middle of a response.',
	hint: 'Check whether the target crashed; the request is retried where that is allowed.',
} as const satisfies ErrorData;
