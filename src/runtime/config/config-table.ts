/** Keys of the platform's table `config`. */

import {type Json} from '../platform/types.js';

export const CONFIG_TABLE = 'config';

/** Key of the row with the current document. */
export const CURRENT_KEY = 'current';

const VERSION_DIGITS = 10;

/** Returns the key of the row that stores a version permanently. */
export const versionKey = (version: number): string => `version/${String(version).padStart(VERSION_DIGITS, '0')}`;

/** Returns the document in the value of a version's row, as JSON, or `undefined` if it has none. */
export const documentOf = (value: Json): string | undefined =>
	typeof value === 'object' && value !== null && !Array.isArray(value) && value.document !== undefined
		? JSON.stringify(value.document)
		: undefined;
