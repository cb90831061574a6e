/** `jackdawwood do [COMMAND]`: changes the fleet configuration, from arguments or a pipe. */
import {JackdawwoodError} from '../../core/errors/jackdawwood-error.js';
import {StatementMissing} from '../client/client-errors-data.js';
import {type ClientIo} from '../client/client-io.js';
import {reportError} from '../client/report-error.js';
import {EXIT_OK} from '../exit-codes.js';
import {runLines} from '../statement/run-lines.js';
import {runCommandStatement, type StatementOptions} from '../statement/run-statement.js';

const continueCodes = new Set([EXIT_OK]);

/** Resolves to the exit code. A pipe ends at the first command that fails. */
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
