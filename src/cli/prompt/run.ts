/** `jackdawwood prompt`: runs queries and commands line by line. */
import {parseStatement} from '../../core/language/parse-statement.js';
import {type ClientIo} from '../client/client-io.js';
import {reportError} from '../client/report-error.js';
import {runDo} from '../do/run.js';
import {EXIT_OK} from '../exit-codes.js';
import {query} from '../query/run.js';
import {type StatementOptions} from '../statement/run-statement.js';
import {promptHelp} from './help.js';

const PROMPT = 'jackdawwood> ';

const runPromptLine = async (text: string, options: StatementOptions, io: ClientIo): Promise<number> => {
	const {statement, fault} = parseStatement(text);
	if (!statement) {
		return reportError(fault, {json: options.json, statement: text}, io);
	}

	return statement.kind === 'query' ? query(text, options, io) : runDo(text, options, io);
};

/** Runs the prompt until `exit`, `quit` or the end of the input. A statement that fails does not end it. */
export const runPrompt = async (options: StatementOptions, io: ClientIo): Promise<number> => {
	if (io.isTerminal) {
		io.write(promptHelp);
	}

	for await (const line of io.lines(PROMPT)) {
		const text = line.trim();
		if (text === 'exit' || text === 'quit') {
			return EXIT_OK;
		}

		if (text === 'help') {
			io.write(promptHelp);
		} else if (text !== '') {
			await runPromptLine(text, options, io);
		}
	}

	return EXIT_OK;
};
