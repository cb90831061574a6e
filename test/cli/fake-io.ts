/** Runs the client in the process of a test, with fake input and output. */
import {runClient} from '../../src/cli/client/run-client.js';

export type Outcome = {
	readonly exitCode: number;
	readonly output: readonly string[];
	readonly errors: readonly string[];
};

export type Terminal = {
	readonly env?: Readonly<Record<string, string>>;
	/** Lines of standard input when it is a pipe; absent at a terminal. */
	readonly piped?: readonly string[];
	readonly createOperationId?: () => string;
};

const toLines = (texts: readonly string[]): readonly string[] => texts.join('').split('\n').filter(Boolean);

/** Runs a command line in this process and collects its output. */
export const runInTest = async (argv: readonly string[], {env = {}, piped, createOperationId = () => 'operation'}: Terminal = {}): Promise<Outcome> => {
	const output: string[] = [];
	const errors: string[] = [];
	const exitCode = await runClient(argv, {
		env,
		async * lines() {
			yield * piped ?? [];
		},
		isTerminal: piped === undefined,
		write(text) {
			output.push(text);
		},
		writeError(text) {
			errors.push(text);
		},
		createOperationId,
	});
	return {exitCode, output: toLines(output), errors: toLines(errors)};
};
