/** Errors with which the proposal of a configuration can fail. */
import {type ErrorData} from '../errors/types.js';

export const ConfigConflict = {
	name: 'ConfigConflict',
	title: 'Another operator changed the configuration first.',
	message: ({expected, current, operator, change}) =>
		`Version ${expected} is no longer current: version ${current} was written by ${operator} (${change}).`,
	hint: 'Read the current version, check that your change still fits, and propose it again.',
} as const satisfies ErrorData;

export const ConfigStoreUnavailable = {
	name: 'ConfigStoreUnavailable',
	title: 'The platform cannot take a configuration now.',
	message: ({reason}) => `The configuration was not written: ${reason}.`,
	hint: 'Nothing has changed. Propose it again when the platform answers.',
} as const satisfies ErrorData;

export const ConfigOutcomeUnknown = {
	name: 'ConfigOutcomeUnknown',
	title: 'Whether the configuration was written is not known.',
	message: ({expected, operationId}) =>
		`The platform did not confirm the change of version ${expected} (operation ${operationId}).`,
	hint: 'Propose it again with the same operation id: it is written at most once.',
} as const satisfies ErrorData;
