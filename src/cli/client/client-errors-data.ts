/** Errors of the client, one entry each. */
import {type ErrorData} from '../../core/errors/types.js';

export const RouterUnreachable = {
	name: 'RouterUnreachable',
	title: 'The router does not answer.',
	message: ({router}) => `no answer from ${router}`,
	hint: 'Check --router, or ask the router of another VM. A command may have been written: repeat it with its operation id.',
} as const satisfies ErrorData;

export const RouterAnswerUnknown = {
	name: 'RouterAnswerUnknown',
	title: 'The router\'s answer cannot be understood.',
	message: ({router, status}) => `${router} answered ${status} with a body that this release does not know`,
	hint: 'Check that --router is an admin address, and that client and router are of the same release.',
} as const satisfies ErrorData;

export const TokenFileUnreadable = {
	name: 'TokenFileUnreadable',
	title: 'The file with the token cannot be read.',
	message: ({file}) => `cannot read the token file ${file}`,
	hint: 'Check the path and that the file is readable.',
} as const satisfies ErrorData;

export const TokenMissing = {
	name: 'TokenMissing',
	title: 'There is no token to hash.',
	message: () => 'the standard input has no token',
	hint: 'Pipe the token in, on one line.',
} as const satisfies ErrorData;

export const StatementMissing = {
	name: 'StatementMissing',
	title: 'There is no statement.',
	message: () => 'no statement was given',
	hint: 'Give it as arguments, or one a line through a pipe.',
} as const satisfies ErrorData;

export const RequestNotLogged = {
	name: 'RequestNotLogged',
	title: 'The request is not in these logs.',
	message: ({requestId, lines}) => `None of ${lines} log lines names request ${requestId}.`,
	hint: 'Give the lines of all routers of its time; lines of requests that went well are dropped first when logs cannot be written fast enough.',
} as const satisfies ErrorData;
