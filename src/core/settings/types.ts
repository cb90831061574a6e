import {type ErrorData} from '../errors/types.js';
import {type Settings} from './schema.js';

/** One fault of a settings file. */
export type SettingsFault = {
	/** The kind of fault, an entry of `faults-data.ts`. */
	readonly data: ErrorData;
	readonly file: string;
	/** Line of the key, or of the nearest table that is present; counts from 1. */
	readonly line: number;
	/** Known only for syntax errors; counts from 1. */
	readonly column?: number;
	/** Dotted key; empty for a syntax error. */
	readonly key: string;
	/** Value of the key as JSON; absent when the key is missing. */
	readonly value?: string;
	/** Description of the allowed values; for a syntax error, the reason. */
	readonly allowed: string;
	readonly hint: string;
};

/** Either the settings or all faults of the file. */
export type ParsedSettings =
	| {readonly settings: Settings; readonly faults?: undefined}
	| {readonly settings?: undefined; readonly faults: readonly SettingsFault[]};
