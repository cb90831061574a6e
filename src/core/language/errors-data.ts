/** Errors that a statement can cause, one entry each. */
import {type ErrorData} from '../errors/types.js';

export const StatementSyntax = {
	name: 'StatementSyntax',
	title: 'The statement cannot be understood.',
	message: ({column, found, expected}) => `column ${column}: found ${found}, expected ${expected}`,
	hint: 'Correct the statement at the column.',
} as const satisfies ErrorData;

export const StatementTooLong = {
	name: 'StatementTooLong',
	title: 'The statement is too long.',
	message: ({length, limit}) => `the statement has ${length} characters, at most ${limit} are allowed`,
	hint: 'Split it into several statements.',
} as const satisfies ErrorData;

export const StatementTooDeep = {
	name: 'StatementTooDeep',
	title: 'The statement has too many parentheses and negations.',
	message: ({column, limit}) => `column ${column}: more than ${limit} parentheses and negations`,
	hint: 'Simplify the condition.',
} as const satisfies ErrorData;

export const UnknownField = {
	name: 'UnknownField',
	title: 'The table has no such field.',
	message: ({column, field, table, expected}) => `column ${column}: ${table} has no field ${field}, expected ${expected}`,
	hint: 'Use a field of the table.',
} as const satisfies ErrorData;

export const UnsuitableComparison = {
	name: 'UnsuitableComparison',
	title: 'The field cannot be compared like this.',
	message: ({column, field, type, expected}) => `column ${column}: ${field} is a ${type} field, expected ${expected}`,
	hint: 'Compare it with a value of its own type.',
} as const satisfies ErrorData;

export const UnknownProperty = {
	name: 'UnknownProperty',
	title: 'Objects of this kind have no such property.',
	message: ({column, property, object, expected}) => `column ${column}: a ${object} has no property ${property}, expected ${expected}`,
	hint: 'Use a property of the object.',
} as const satisfies ErrorData;

export const InvalidChange = {
	name: 'InvalidChange',
	title: 'The change would make the fleet configuration invalid.',
	message: ({faults}) => `the change is not valid: ${faults}`,
	hint: 'Correct the values; nothing was written.',
} as const satisfies ErrorData;

export const ObjectExists = {
	name: 'ObjectExists',
	title: 'There is such an object already.',
	message: ({object, name}) => `${object} ${name} exists already`,
	hint: 'Change it, or choose another name.',
} as const satisfies ErrorData;

export const ObjectMissing = {
	name: 'ObjectMissing',
	title: 'There is no such object.',
	message: ({object, name}) => `there is no ${object} ${name}`,
	hint: 'Check the name, or create it first.',
} as const satisfies ErrorData;

export const ObjectInUse = {
	name: 'ObjectInUse',
	title: 'Other objects refer to this one.',
	message: ({object, name, users}) => `${object} ${name} is used by ${users}`,
	hint: 'Remove or change these first.',
} as const satisfies ErrorData;

export const TokenExists = {
	name: 'TokenExists',
	title: 'The token is in use already.',
	message: ({holder}) => `the token belongs to ${holder} already`,
	hint: 'Give each team and operator tokens of its own.',
} as const satisfies ErrorData;

export const TokenMissing = {
	name: 'TokenMissing',
	title: 'The holder has no such token.',
	message: ({object, name}) => `${object} ${name} has no such token`,
	hint: 'Give the SHA-256 hash of the token in hex; hash-token prints it.',
} as const satisfies ErrorData;

export const VersionMissing = {
	name: 'VersionMissing',
	title: 'There is no such configuration version.',
	message: ({version}) => `there is no configuration version ${version}`,
	hint: 'Query config_history for the versions.',
} as const satisfies ErrorData;
