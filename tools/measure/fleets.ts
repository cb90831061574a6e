/** The fleets on which experiments run. */
import {type DataCentreSpec, type FleetSpec} from '../fleet/types.js';
import {
	type Experiment, type RunOptions, type SizeName, type TeamLoadSpec,
} from './types.js';

export const MODEL_SERVICE = 'tariff';
export const LEDGER_SERVICE = 'ledger';
/** Concurrent requests that a warm target sustains. */
export const SLOTS = 8;
const COLD_LIMIT = 2;
const STEP_MS = 20;
/** Most requests of a team in the queue of a router. */
const MAX_QUEUED = 500;

const ROUTERS = [2, 2, 3] as const;
const NAMES: Readonly<Record<SizeName, readonly [string, string, string]>> = {
	tariff: ['colombo', 'gampaha', 'kalutara'],
	viljaveo: ['tartu', 'elva', 'jogeva'],
};
/** Number of targets of the model service in each data centre. */
const MODEL_WORKERS: Readonly<Record<SizeName, number>> = {tariff: 2, viljaveo: 4};

/** Returns the data centre that experiments take out of service or partition. */
export const lastDataCentre = (size: SizeName): string => NAMES[size][2];

const dataCentre = (name: string, routers: number, workers: number, stepMs: number): DataCentreSpec => ({
	name, routers,
	targets: [
		{
			service: MODEL_SERVICE, count: workers,
			settings: {cold_limit: COLD_LIMIT, max_running: SLOTS, step_ms: stepMs},
			contract: {coldLimit: COLD_LIMIT, warmLimit: SLOTS},
		},
		{
			service: LEDGER_SERVICE, count: 1,
			settings: {cold_limit: COLD_LIMIT, max_running: SLOTS},
			contract: {coldLimit: COLD_LIMIT, warmLimit: SLOTS},
		},
	],
});

export const tokenOf = (team: string): string => `token-of-${team}`;

/** Builds the description of the fleet for one run of an experiment. */
export const fleetFor = ({needsProxy = false, stepMs = STEP_MS}: Experiment, teams: readonly TeamLoadSpec[], options: RunOptions): FleetSpec => ({
	dataCentres: NAMES[options.size].map((name, index) => dataCentre(name, ROUTERS[index] ?? 2, MODEL_WORKERS[options.size], stepMs)),
	services: [
		{name: MODEL_SERVICE, standin: 'engine', config: {kind: 'model', initialCost: 20, maxCost: 60}},
		{
			name: LEDGER_SERVICE, standin: 'ledger', config: {
				kind: 'plain', repeat: 'never', initialCost: 1, maxCost: 4,
			},
		},
	],
	teams: teams.map(({name, weight}) => ({
		name, weight, token: tokenOf(name), maxQueued: MAX_QUEUED,
	})),
	sharing: options.tickMs === undefined ? {} : {tickMs: options.tickMs},
	proxies: {control: needsProxy, platform: needsProxy},
	routerSettings: {log: {level: 'warn'}, policy: {name: options.policy}, limits: {connections_per_team: 2000}},
});
