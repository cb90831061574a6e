/** Sends one statement to the router and prints the response. */
import {differenceText} from '../../core/language/diff-config.js';
import {type ClientIo} from '../client/client-io.js';
import {sendCommand, sendQuery, type RouterAccess} from '../client/router-client.js';
import {EXIT_OK, EXIT_PARTIAL} from '../exit-codes.js';
import {renderTable} from './render-table.js';

/** Router that runs the statements, and the format in which its responses are printed. */
export type StatementOptions = {
	readonly access: RouterAccess;
	readonly json: boolean;
	readonly dryRun: boolean;
	/** Identifies the command, so that a retry of it is not written again. */
	readonly operationId: string | undefined;
};

const plural = (count: number, noun: string): string => `${count} ${noun}${count === 1 ? '' : 's'}`;

/** Prints the rows of a query. Resolves to `EXIT_PARTIAL` when the response lacks the rows of some VMs. */
export const runQueryStatement = async (text: string, {access, json}: StatementOptions, io: ClientIo): Promise<number> => {
	const response = await sendQuery(access, text);
	if (json) {
		io.write(`${JSON.stringify(response)}\n`);
	} else {
		io.write(renderTable(response.columns, response.rows));
		io.write(`${plural(response.rows.length, 'row')}\n`);
	}

	for (const {vm, reason} of response.missing) {
		io.writeError(`missing: VM ${vm}, ${reason}\n`);
	}

	return response.missing.length === 0 ? EXIT_OK : EXIT_PARTIAL;
};

const commandSummary = (written: boolean, dryRun: boolean, version: number): string => {
	if (dryRun) {
		return `dry run: nothing written, version ${version} stays in force`;
	}

	return written ? `written as version ${version}` : `nothing to change in version ${version}`;
};

/** Runs a command and prints the changes that it made, or would make in a dry run. Resolves to the exit code. */
export const runCommandStatement = async (text: string, {access, json, dryRun, operationId}: StatementOptions, io: ClientIo): Promise<number> => {
	const id = operationId ?? io.createOperationId();
	const response = await sendCommand(access, {text, dryRun, operationId: id});
	if (json) {
		io.write(`${JSON.stringify({...response, operation_id: id})}\n`);
	} else {
		io.write(response.differences.map(difference => `${differenceText(difference)}\n`).join(''));
		io.write(`${commandSummary(response.written, dryRun, response.version)}\n`);
	}

	return EXIT_OK;
};
