#!/usr/bin/env node
/** `jackdawwood`: the command-line client for operators. */
import {randomUUID} from 'node:crypto';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {completeStatement} from '../core/language/complete-statement.js';
import {runClient} from './client/run-client.js';

const {stdin, stdout, stderr} = process;

async function * readLines(prompt = ''): AsyncIterable<string> {
	const completer = (line: string): [string[], string] => {
		const {candidates, partial} = completeStatement(line);
		return [[...candidates], partial];
	};

	const lines = createInterface({input: stdin, prompt, ...(stdin.isTTY && {output: stdout, completer})});
	const showPrompt = () => {
		if (stdin.isTTY) {
			lines.prompt();
		}
	};

	showPrompt();
	for await (const line of lines) {
		yield line;
		showPrompt();
	}
}

process.exitCode = await runClient(process.argv.slice(2), {
	env: process.env,
	lines: readLines,
	isTerminal: stdin.isTTY,
	write(text) {
		stdout.write(text);
	},
	writeError(text) {
		stderr.write(text);
	},
	createOperationId: randomUUID,
});
