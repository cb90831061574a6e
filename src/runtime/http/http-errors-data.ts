/** Errors of HTTP responses from targets and the platform. */
import {type ErrorData} from '../../core/errors/types.js';

export const ResponseOverheadTooLarge = {
	name: 'ResponseOverheadTooLarge',
	title: 'A server sent bytes that belong to no body, without end.',
	message: ({bytes}) => `The connection was closed after ${bytes} bytes, most of which are neither a head nor a body.`,
	hint: 'Check what the server sends; requests to targets are retried where that is allowed.',
} as const satisfies ErrorData;

export const ResponseTooLong = {
	name: 'ResponseTooLong',
	title: 'A response is longer than expected.',
	message: ({limit}) => `The response is longer than ${limit} bytes.`,
	hint: 'Check whether the address is that of the expected server.',
} as const satisfies ErrorData;
