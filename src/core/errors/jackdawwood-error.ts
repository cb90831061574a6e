import VError from 'verror';
import {type ErrorData} from './types.js';

/** Details of one occurrence of an error, for its message. */
export type ErrorDetails = Readonly<Record<string, string | number>>;

/**
 * Base class of the project's errors. `data` identifies the kind of error, for instance an entry
 * of `errors-data.ts`. Code compares `err.data.name` instead of texts.
 *
 * @example
 * throw new JackdawwoodError(SettingsUnreadable, {file: 'router.toml'}, cause);
 */
export class JackdawwoodError extends VError {
	declare readonly data: ErrorData;
	readonly details: ErrorDetails;

	constructor(data: ErrorData, details: ErrorDetails = {}, cause?: Error) {
		super({name: data.name, info: {...details}, ...(cause && {cause})}, '%s', data.message(details));
		// `data` is not enumerable, because it contains functions, which cannot be cloned between threads.
		Object.defineProperty(this, 'data', {value: data});
		this.details = details;
	}
}

/** Whether `err` is an error of the given kind. */
export const isError = (err: unknown, data: ErrorData): err is JackdawwoodError =>
	err instanceof JackdawwoodError && err.data.name === data.name;
