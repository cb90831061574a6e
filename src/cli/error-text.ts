/** Formats errors for the terminal. */
import {JackdawwoodError} from '../core/errors/jackdawwood-error.js';

/** Returns the message and hint of a typed error, and the stack of any other. */
export const errorText = (err: unknown): string => {
	if (err instanceof JackdawwoodError) {
		return `${err.message}\n  hint: ${err.data.hint}`;
	}

	return err instanceof Error ? err.stack ?? err.message : String(err);
};
