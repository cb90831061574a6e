/** Prints errors and maps them to exit codes. */
import {JackdawwoodError} from '../../core/errors/jackdawwood-error.js';
import {errorText} from '../error-text.js';
import {
	EXIT_INTERNAL, EXIT_REFUSED, EXIT_SETTINGS, EXIT_UNAUTHENTICATED, EXIT_UNREACHABLE, EXIT_USAGE,
} from '../exit-codes.js';
import {type ClientIo} from './client-io.js';

const exitCodes: Readonly<Record<string, number>> = {
	RouterUnreachable: EXIT_UNREACHABLE,
	RouterAnswerUnknown: EXIT_UNREACHABLE,
	OperatorUnknown: EXIT_UNAUTHENTICATED,
	TokenFileUnreadable: EXIT_UNAUTHENTICATED,
	SettingsUnreadable: EXIT_SETTINGS,
	StatementMissing: EXIT_USAGE,
	TokenMissing: EXIT_USAGE,
};

const exitCodeOf = (err: unknown): number => err instanceof JackdawwoodError
	? exitCodes[err.data.name] ?? EXIT_REFUSED
	: EXIT_INTERNAL;

const errorJson = (err: JackdawwoodError): string => JSON.stringify({
	error: {
		name: err.data.name, title: err.data.title, message: err.message, hint: err.data.hint, details: err.details,
	},
});

/** Returns the statement and a line that marks the column of its fault; empty for an error without a column. */
const columnPointer = (err: unknown, statement: string | undefined): string => {
	const column = err instanceof JackdawwoodError ? err.details.column : undefined;
	return statement === undefined || typeof column !== 'number' ? '' : `${statement}\n${' '.repeat(column - 1)}^\n`;
};

/** Writes an error to standard error, as JSON when `json` is set. Returns the exit code. */
export const reportError = (err: unknown, {json, statement}: {readonly json: boolean; readonly statement?: string}, io: ClientIo): number => {
	const text = json && err instanceof JackdawwoodError ? errorJson(err) : `${columnPointer(err, statement)}${errorText(err)}`;
	io.writeError(`${text}\n`);
	return exitCodeOf(err);
};
