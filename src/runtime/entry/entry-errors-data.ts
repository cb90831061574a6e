/** Failures inside the entry router that callers never see as such. */
import {type ErrorData} from '../../core/errors/types.js';

export const CallDropped = {
	name: 'CallDropped',
	title: 'A call to a target was dropped.',
	message: () => 'The call was dropped by the router.',
	hint: 'Nothing is to be done: the request was withdrawn, cancelled or asked for again.',
} as const satisfies ErrorData;

export const ForeignResponse = {
	name: 'ForeignResponse',
	title: 'A target wrote another response inside of a response.',
	message: () => 'The body holds the head of another response; none of it is used.',
	hint: 'See whether the target sends responses twice; the request is repeated where that is allowed.',
} as const satisfies ErrorData;

export const ConnectionReset = {
	name: 'ConnectionReset',
	title: 'A connection to a target was reset.',
	message: () => 'The target reset the connection, possibly in the middle of an answer.',
	hint: 'See whether the target crashed; the request is repeated where that is allowed.',
} as const satisfies ErrorData;
