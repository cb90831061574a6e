/** The command line of `jackdawwood-router`. */
import process from 'node:process';
import meow from 'meow';
import {type ProcessSignals} from '../../runtime/router/process-signals.js';
import {startRouter} from '../../runtime/router/start-router.js';
import {EXIT_USAGE} from '../exit-codes.js';
import {routerHelp} from './help.js';
import {runRouter} from './run.js';

/** Runs the daemon until a stop signal; resolves to the exit code. A changed settings file has no effect on it. */
export const runRouterCommand = async ({stop}: Pick<ProcessSignals, 'stop'>): Promise<number> => {
	const cli = meow(routerHelp, {
		importMeta: import.meta,
		description: false,
		allowUnknownFlags: false,
		flags: {settings: {type: 'string'}},
	});

	if (cli.flags.settings === undefined || cli.input.length > 0) {
		process.stderr.write(routerHelp);
		return EXIT_USAGE;
	}

	return runRouter(cli.flags.settings, {
		startRouter,
		stopSignal: stop,
		writeError(text) {
			process.stderr.write(text);
		},
	});
};
