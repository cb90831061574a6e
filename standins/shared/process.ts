/** Runs a stand-in in its own process. */
import meow from 'meow';
import {consola} from 'consola';
import type * as z from 'zod';
import {readSettings} from './settings.js';
import {type Standin} from './types.js';

const EXIT_FAILURE = 1;
const EXIT_USAGE = 2;

const help = (name: string): string => `
	Usage
	  $ ${name} --settings FILE

	Prints one JSON line with its address when it is ready; ends on SIGTERM.
`;

const endOnSignal = (standin: Standin): void => {
	const end = (): void => {
		void standin.close().then(() => {
			process.exit(0);
		});
	};

	process.once('SIGTERM', end);
	process.once('SIGINT', end);
};

/**
 * Reads the settings named on the command line, starts the stand-in and prints its
 * address. Exit code 2 for a wrong command line, 1 for any other failure.
 */
export const runProcess = async <Schema extends z.ZodType>(
	name: string,
	schema: Schema,
	start: (cfg: z.output<Schema>) => Promise<Standin>,
): Promise<void> => {
	const cli = meow(help(name), {importMeta: import.meta, flags: {settings: {type: 'string'}}});
	if (!cli.flags.settings) {
		cli.showHelp(EXIT_USAGE);
		return;
	}

	try {
		const standin = await start(await readSettings(cli.flags.settings, schema));
		endOnSignal(standin);
		process.stdout.write(`${JSON.stringify({listening: standin.address, ...standin.details})}\n`);
	} catch (error) {
		consola.error(error);
		process.exit(EXIT_FAILURE);
	}
};
