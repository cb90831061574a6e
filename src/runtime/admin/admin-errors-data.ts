/** Errors of the operators' interface. */
import {type ErrorData} from '../../core/errors/types.js';

export const OperatorUnknown = {
	name: 'OperatorUnknown',
	title: 'The operator\'s token is missing or unknown.',
	message: () => 'no operator has this bearer token',
	hint: 'Set JACKDAWWOOD_TOKEN or pass --token-file with an operator\'s token.',
} as const satisfies ErrorData;

export const AdminBodyInvalid = {
	name: 'AdminBodyInvalid',
	title: 'The body of the call is not valid.',
	message: ({fault}) => `the body is not valid: ${fault}`,
	hint: 'Send a JSON object as the reference page of the interface describes.',
} as const satisfies ErrorData;

export const AdminBodyTooLarge = {
	name: 'AdminBodyTooLarge',
	title: 'The body of the call is too large.',
	message: ({limit}) => `the body has more than ${limit} bytes`,
	hint: 'Send one statement at a time.',
} as const satisfies ErrorData;

export const AdminPathUnknown = {
	name: 'AdminPathUnknown',
	title: 'There is nothing at this path.',
	message: ({path}) => `there is nothing at ${path}`,
	hint: 'Use /healthz, /readyz, /metrics, /v1/query or /v1/commands.',
} as const satisfies ErrorData;

export const NotAQuery = {
	name: 'NotAQuery',
	title: 'The statement is a command, not a query.',
	message: ({text}) => `not a query: ${text}`,
	hint: 'Use "jackdawwood do" for commands.',
} as const satisfies ErrorData;

export const NotACommand = {
	name: 'NotACommand',
	title: 'The statement is a query, not a command.',
	message: ({text}) => `not a command: ${text}`,
	hint: 'Use "jackdawwood query" for queries.',
} as const satisfies ErrorData;

export const OperationIdReused = {
	name: 'OperationIdReused',
	title: 'Another command had this operation id.',
	message: ({operationId, version}) => `operation ${operationId} was another command, written as version ${version}`,
	hint: 'Give each command an operation id of its own.',
} as const satisfies ErrorData;

export const AdminInternal = {
	name: 'AdminInternal',
	title: 'The router failed to answer.',
	message: ({reason}) => `the router failed to answer: ${reason}`,
	hint: 'See the router\'s log; repeating a command with the same operation id is safe.',
} as const satisfies ErrorData;
