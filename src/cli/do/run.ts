/** `jackdawwood do [STATEMENT]`: runs a command from the arguments, or each command from a pipe, to change the fleet configuration. */
import {JackdawwoodError} from '../../core/errors/jackdawwood-error.js';
import {StatementMissing} from '../client/client-errors-data.js';
import {type ClientIo} from '../client/client-io.js';
import {reportError} from '../client/report-error.js';
import {EXIT_OK} from '../exit-codes.js';
import {runLines} from '../statement/run-lines.js';
import {runCommandStatement, type StatementOptions} from '../statement/run-statement.js';

const continueCodes = new Set([EXIT_OK]);

/** Runs `statement`, or the lines of standard input up to the first that fails. Resolves to the exit code. */
export const runDo = async (statement: string, options: StatementOptions, io: ClientIo): Promise<number> => {
	const runReported = async (text: string): Promise<number> => {
		const operationId = options.operationId ?? io.createOperationId();
		try {
			return await runCommandStatement(text, {...options, operationId}, io);
		} catch (error) {
			const code = reportError(error, {json: options.json, statement: text}, io);
			io.writeError(`operation id: ${operationId}\n`);
			return code;
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
