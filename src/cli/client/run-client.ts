/** Parses the client's command line and runs the command. */
import meow from 'meow';
import {checkSettingsFile} from '../check-settings/run.js';
import {runDo} from '../do/run.js';
import {explain} from '../explain/run.js';
import {EXIT_USAGE} from '../exit-codes.js';
import {hashToken} from '../hash-token/run.js';
import {runPrompt} from '../prompt/run.js';
import {query} from '../query/run.js';
import {type StatementOptions} from '../statement/run-statement.js';
import {DEFAULT_TIMEOUT_MS, readAccess} from './access.js';
import {type ClientIo} from './client-io.js';
import {
	clientHelp, commandHelp, commandNames, type CommandName,
} from './help.js';
import {reportError} from './report-error.js';

const parseCommandLine = (name: CommandName, argv: readonly string[]) => meow(commandHelp[name], {
	importMeta: import.meta,
	argv,
	description: false,
	allowUnknownFlags: false,
	flags: {
		router: {type: 'string'},
		tokenFile: {type: 'string'},
		timeoutMs: {type: 'number', default: DEFAULT_TIMEOUT_MS},
		json: {type: 'boolean', default: false},
		dryRun: {type: 'boolean', default: false},
		operationId: {type: 'string'},
	},
});

type CommandLine = ReturnType<typeof parseCommandLine>;

const statementOptions = async ({flags}: CommandLine, io: ClientIo): Promise<StatementOptions> => ({
	access: await readAccess({router: flags.router, tokenFile: flags.tokenFile, timeoutMs: flags.timeoutMs}, io.env),
	json: flags.json,
	dryRun: flags.dryRun,
	operationId: flags.operationId,
});

const runCommand = async (name: CommandName, line: CommandLine, io: ClientIo): Promise<number> => {
	const statement = line.input.join(' ');
	switch (name) {
		case 'check-settings': {
			const [file] = line.input;
			if (file === undefined || line.input.length > 1) {
				io.writeError(commandHelp[name]);
				return EXIT_USAGE;
			}

			return checkSettingsFile(file, line.flags, io);
		}

		case 'query': {
			return query(statement, await statementOptions(line, io), io);
		}

		case 'do': {
			return runDo(statement, await statementOptions(line, io), io);
		}

		case 'prompt': {
			return runPrompt(await statementOptions(line, io), io);
		}

		case 'explain': {
			const [requestId] = line.input;
			if (requestId === undefined || line.input.length > 1) {
				io.writeError(commandHelp[name]);
				return EXIT_USAGE;
			}

			return explain(requestId, line.flags, io);
		}

		case 'hash-token': {
			return hashToken(line.flags, io);
		}
	}
};

/** Runs the client with the arguments `argv`; resolves to the exit code. */
export const runClient = async (argv: readonly string[], io: ClientIo): Promise<number> => {
	const parent = meow(clientHelp, {
		importMeta: import.meta, argv, description: false, allowUnknownFlags: false, commands: [...commandNames], flags: {},
	});
	const command = commandNames.find(name => name === parent.command);
	if (command === undefined) {
		io.writeError(clientHelp);
		return EXIT_USAGE;
	}

	const line = parseCommandLine(command, parent.input);
	try {
		return await runCommand(command, line, io);
	} catch (error) {
		return reportError(error, {json: line.flags.json}, io);
	}
};
