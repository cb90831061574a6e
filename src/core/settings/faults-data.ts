/** The kinds of faults that a settings file can have. */
import {type ErrorData} from '../errors/types.js';

export const SettingsSyntax = {
	name: 'SettingsSyntax',
	title: 'The file is not TOML.',
	message: ({reason}) => `not TOML: ${reason}`,
	hint: 'Correct the line; texts need quotes, tables a line of their own.',
} as const satisfies ErrorData;

export const SettingsUnknownKey = {
	name: 'SettingsUnknownKey',
	title: 'The file has a key that no setting has.',
	message: ({key}) => `${key} is not a setting`,
	hint: 'Remove it, or correct its spelling.',
} as const satisfies ErrorData;

export const SettingsMissingKey = {
	name: 'SettingsMissingKey',
	title: 'A setting without default is absent.',
	message: ({key}) => `${key} is missing`,
	hint: 'Add it.',
} as const satisfies ErrorData;

export const SettingsInvalidValue = {
	name: 'SettingsInvalidValue',
	title: 'A setting has a value that is not allowed.',
	message: ({key, value}) => `${key} is ${value}`,
	hint: 'Give it an allowed value.',
} as const satisfies ErrorData;
