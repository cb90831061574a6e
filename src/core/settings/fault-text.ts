/** Formats faults of a settings file for operators. */
import {type SettingsFault} from './types.js';

const position = ({file, line, column}: SettingsFault): string => [file, line, column].filter(part => part !== undefined).join(':');

/** Formats a fault as three lines: its position and message, the allowed values, and a hint. */
export const faultText = (fault: SettingsFault): string => {
	const what = fault.data.message({key: fault.key, value: fault.value ?? '', reason: fault.allowed});
	return [
		`${position(fault)}: ${what}`,
		`  allowed: ${fault.allowed}`,
		`  hint: ${fault.hint}`,
	].filter(line => fault.key !== '' || !line.startsWith('  allowed')).join('\n');
};
