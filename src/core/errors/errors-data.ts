/**
 * Errors of the settings file and of the fleet configuration, one entry each. Refusals to
 * callers are in `refusals-data.ts`, since they also have an HTTP status.
 */
import {type ErrorData} from './types.js';

export const SettingsUnreadable = {
	name: 'SettingsUnreadable',
	title: 'The settings file cannot be read.',
	message: ({file}) => `Cannot read settings file ${file}.`,
	hint: 'Check the path and that the file is readable.',
} as const satisfies ErrorData;

export const FleetConfigInvalid = {
	name: 'FleetConfigInvalid',
	title: 'The fleet configuration is not valid.',
	message: ({version, fault}) => `Fleet configuration ${version} is not valid: ${fault}.`,
	hint: 'Write a corrected version; VMs keep the last valid one in force.',
} as const satisfies ErrorData;
