/** Runs commands: a command changes the fleet configuration or, as a dry run, returns what it would change. */
import * as z from 'zod';
import {JackdawwoodError} from '../../core/errors/jackdawwood-error.js';
import {applyCommand} from '../../core/language/apply-command.js';
import {diffConfig, type Difference} from '../../core/language/diff-config.js';
import {parseStatement} from '../../core/language/parse-statement.js';
import {type Command} from '../../core/language/types.js';
import {fleetConfigSchema, type FleetConfig} from '../../core/config/fleet-config.js';
import {NotACommand, OperationIdReused} from './admin-errors-data.js';
import {type AdminOptions} from './types.js';

export const commandBody = z.object({
	text: z.string(),
	dry_run: z.boolean().default(false),
	operation_id: z.string().min(1).max(100),
});

export type CommandResponse = {
	/** The configuration version that contains the change. */
	readonly version: number;
	readonly differences: readonly Difference[];
	/** Whether a version was written: false for a dry run, and if there was nothing to change. */
	readonly written: boolean;
};

type Dependencies = Pick<AdminOptions, 'currentConfig' | 'readTable' | 'readVersion' | 'proposeConfig'>;

const emptyConfig = fleetConfigSchema.parse({version: 0});

const parseCommand = (text: string): Command => {
	const {statement, fault} = parseStatement(text);
	if (!statement) {
		throw fault;
	}

	if (statement.kind === 'query') {
		throw new JackdawwoodError(NotACommand, {text});
	}

	return statement;
};

const apply = async (config: FleetConfig, command: Command, {readVersion}: Dependencies): Promise<FleetConfig> => {
	const earlier = command.kind === 'revert' ? await readVersion(command.version) : undefined;
	const applied = applyCommand(config, command, () => earlier);
	if (!applied.config) {
		throw applied.fault;
	}

	return applied.config;
};

/** Returns the version that an earlier attempt of the same operation wrote. */
const versionOfOperation = async (operationId: string, {readTable}: Dependencies): Promise<number | undefined> => {
	const {rows} = await readTable('config_history');
	const version = rows.find(row => row.operation_id === operationId)?.version;
	return typeof version === 'number' ? version : undefined;
};

/**
 * Returns the response to a retried operation, with the version that its first attempt wrote.
 * Throws `OperationIdReused` if the command does not change the previous version into the written
 * one, since the operation id then belongs to another command.
 */
const responseOfRetry = async (version: number, command: Command, operationId: string, dependencies: Dependencies): Promise<CommandResponse> => {
	const before = await dependencies.readVersion(version - 1) ?? emptyConfig;
	const written = await dependencies.readVersion(version);
	if (!written || diffConfig(await apply(before, command, dependencies), written).length > 0) {
		throw new JackdawwoodError(OperationIdReused, {operationId, version});
	}

	return {version, differences: diffConfig(before, written), written: true};
};

/** Runs a command. Throws the fault of the statement, or the error of the write. */
export const runCommand = async (body: z.output<typeof commandBody>, operator: string, dependencies: Dependencies): Promise<CommandResponse> => {
	const command = parseCommand(body.text);
	const earlierVersion = body.dry_run ? undefined : await versionOfOperation(body.operation_id, dependencies);
	if (earlierVersion !== undefined) {
		return responseOfRetry(earlierVersion, command, body.operation_id, dependencies);
	}

	const config = dependencies.currentConfig() ?? emptyConfig;
	const next = await apply(config, command, dependencies);
	const differences = diffConfig(config, next);
	if (body.dry_run || differences.length === 0) {
		return {version: config.version, differences, written: false};
	}

	const {version} = await dependencies.proposeConfig({
		expectedVersion: config.version, document: next, operator, operationId: body.operation_id,
	});
	return {version, differences, written: true};
};
