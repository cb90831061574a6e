/** A fake router for tests of the operators' interface, with one configuration document and fixed rows. */
import {createHash} from 'node:crypto';
import {Registry} from 'prom-client';
import {ConfigConflict} from '../../src/core/config/config-errors-data.js';
import {JackdawwoodError} from '../../src/core/errors/jackdawwood-error.js';
import {type Row} from '../../src/core/language/evaluate-query.js';
import {fleetConfigSchema, type FleetConfig} from '../../src/core/config/fleet-config.js';
import {startAdmin} from '../../src/runtime/admin/start-admin.js';
import {type Admin, type AdminOptions, type MissingPart} from '../../src/runtime/admin/types.js';
import {silentLog} from '../../src/runtime/observe/log.js';

export const TOKEN = 'token-of-ruwan';

const tokenHashes = [createHash('sha256').update(TOKEN).digest('hex')];

export const fleet = fleetConfigSchema.parse({
	version: 4,
	operators: {ruwan: {tokenHashes}},
	teams: {couriers: {weight: 2}, agents: {weight: 1}},
	services: {tariff: {kind: 'model'}},
	dataCentres: {colombo: {}, galle: {}},
});

const rows: Readonly<Record<string, readonly Row[]>> = {
	teams: [
		{
			name: 'couriers', weight: 2, backlogged: true, queued: 3, behind: 0,
		},
		{
			name: 'couriers', weight: 2, backlogged: false, queued: 2, behind: 0,
		},
		{
			name: 'agents', weight: 1, backlogged: true, queued: 1, behind: 12.25,
		},
	],
	leases: [{
		service: 'tariff', data_centre: 'colombo', holder: 'colombo-1', epoch: 3,
	}],
};

/** Options that tests vary. */
export type FakeOptions = Partial<Pick<AdminOptions, 'bootstrapFromLoopback' | 'isReady'>> & {
	readonly config?: FleetConfig;
	readonly missing?: readonly MissingPart[];
	/** Whether each proposal fails because another operator changed the configuration first. */
	readonly conflicting?: boolean;
};

/** Starts the interface on a free port; the configuration written last is active. */
export const startFakeRouter = async ({config = fleet, missing = [], conflicting = false, ...options}: FakeOptions = {}): Promise<Admin> => {
	const history = [{config, operator: 'nirmala', operationId: 'first'}];
	const current = (): FleetConfig => history.at(-1)?.config ?? config;
	return startAdmin({
		address: '127.0.0.1:0',
		bootstrapFromLoopback: true,
		registry: new Registry(),
		log: silentLog,
		isReady: () => true,
		currentConfig: current,
		async readTable(table) {
			const versions = history.map(entry => ({version: entry.config.version, operator: entry.operator, operation_id: entry.operationId}));
			return {rows: table === 'config_history' ? versions : rows[table] ?? [], missing};
		},
		readVersion: async version => history.find(entry => entry.config.version === version)?.config,
		async proposeConfig({expectedVersion, document, operator, operationId}) {
			if (conflicting || expectedVersion !== current().version) {
				throw new JackdawwoodError(ConfigConflict, {
					expected: expectedVersion, current: 5, operator: 'nirmala', operationId: 'other', change: 'teams.couriers.weight 2 -> 3',
				});
			}

			const written = fleetConfigSchema.parse(document);
			history.push({config: written, operator, operationId});
			return {version: written.version};
		},
		...options,
	});
};
