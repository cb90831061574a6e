/** `jackdawwood query [STATEMENT]`: prints the result of a query from the arguments, or of each query from a pipe. */
import {JackdawwoodError} from '../../core/errors/jackdawwood-error.js';
import {StatementMissing} from '../client/client-errors-data.js';
import {type ClientIo} from '../client/client-io.js';
import {reportError} from '../client/report-error.js';
import {EXIT_OK, EXIT_PARTIAL} from '../exit-codes.js';
import {runLines} from '../statement/run-lines.js';
import {runQueryStatement, type StatementOptions} from '../statement/run-statement.js';

const continueCodes = new Set([EXIT_OK, EXIT_PARTIAL]);

/** Runs `statement`, or each line of standard input when it is empty. Resolves to the exit code. */
export const query = async (statement: string, options: StatementOptions, io: ClientIo): Promise<number> => {
	const runReported = async (text: string): Promise<number> => {
		try {
			return await runQueryStatement(text, options, io);
		} catch (error) {
			return reportError(error, {json: options.json, statement: text}, io);
		}
	};

	if (statement !== '') {
		return runReported(statement);
	}

	if (io.isTerminal) {
		throw new JackdawwoodError(StatementMissing);
	}

	return runLines(io.lines(), runReported, continueCodes);
};
