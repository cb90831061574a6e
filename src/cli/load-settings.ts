/** Reads and checks a settings file. */
import {readFile} from 'node:fs/promises';
import {SettingsUnreadable} from '../core/errors/errors-data.js';
import {JackdawwoodError} from '../core/errors/jackdawwood-error.js';
import {parseSettings} from '../core/settings/parse-settings.js';
import {type ParsedSettings} from '../core/settings/types.js';

/** Throws `SettingsUnreadable` when the file cannot be read. Faults in its content are returned. */
export const loadSettings = async (file: string): Promise<ParsedSettings> => {
	let text: string;
	try {
		text = await readFile(file, 'utf8');
	} catch (error) {
		throw new JackdawwoodError(SettingsUnreadable, {file}, error instanceof Error ? error : undefined);
	}

	return parseSettings(text, file);
};
