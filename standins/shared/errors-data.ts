/** Errors of the stand-ins and of the tools that use their settings files. */
import {type ErrorData} from '../../src/core/errors/types.js';

export const StandinSettingsInvalid = {
	name: 'StandinSettingsInvalid',
	title: 'The settings of a stand-in are not valid.',
	message: ({file, fault}) => `Settings file ${file} is not valid: ${fault}.`,
	hint: 'See the schema in the settings module of that stand-in.',
} as const satisfies ErrorData;

export const StandinBodyInvalid = {
	name: 'StandinBodyInvalid',
	title: 'The body of a request to a stand-in is not valid.',
	message: ({fault}) => `The request body is not valid: ${fault}.`,
	hint: 'Send the JSON that docs/design/architecture.md describes.',
} as const satisfies ErrorData;
