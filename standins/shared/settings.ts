/** Reads the settings file of a stand-in or a tool. */
import {readFile} from 'node:fs/promises';
import {parse} from 'smol-toml';
import * as z from 'zod';
import {SettingsUnreadable} from '../../src/core/errors/errors-data.js';
import {JackdawwoodError} from '../../src/core/errors/jackdawwood-error.js';
import {camelKeys} from '../../src/core/settings/camel-keys.js';
import {asError} from './as-error.js';
import {StandinSettingsInvalid} from './errors-data.js';

const readText = async (file: string): Promise<string> => {
	try {
		return await readFile(file, 'utf8');
	} catch (error) {
		throw new JackdawwoodError(SettingsUnreadable, {file}, asError(error));
	}
};

/** Reads a TOML file and checks it against a schema. Throws `SettingsUnreadable` or `StandinSettingsInvalid`. */
export const readSettings = async <Schema extends z.ZodType>(file: string, schema: Schema): Promise<z.output<Schema>> => {
	const text = await readText(file);
	let toml: unknown;
	try {
		toml = parse(text);
	} catch (error) {
		throw new JackdawwoodError(StandinSettingsInvalid, {file, fault: asError(error).message}, asError(error));
	}

	const result = schema.safeParse(camelKeys(toml));
	if (!result.success) {
		throw new JackdawwoodError(StandinSettingsInvalid, {file, fault: z.prettifyError(result.error)});
	}

	return result.data;
};
