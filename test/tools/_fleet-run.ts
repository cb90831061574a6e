/** Runs a short load on a fleet while a test injects faults. */
import {type ExecutionContext} from 'ava';
import {monotonicClock} from '../../src/runtime/monotonic-clock.js';
import {type Fleet} from '../../tools/fleet/fleet.js';
import {type FleetSpec} from '../../tools/fleet/types.js';
import {runLoad, totalOf, type LoadResult} from '../../tools/load/run-load.js';
import {loadSettingsSchema} from '../../tools/load/settings.js';

const teams = [
	{name: 'couriers', token: 'token-couriers', weight: 2},
	{name: 'exporters', token: 'token-exporters', weight: 1},
	{name: 'counters', token: 'token-counters', weight: 1},
];

const targets = [
	{
		service: 'tariff', count: 2, settings: {
			warm_after: 2, step_ms: 5, cold_limit: 2, load_lag_ms: 200,
		}, contract: {coldLimit: 2},
	},
	{
		service: 'ledger', count: 1, settings: {
			warm_after: 2, service_ms: 10, cold_limit: 2, load_lag_ms: 200,
		}, contract: {coldLimit: 2},
	},
];

/** A fleet of two data centres with two routers each, with all connections through the fault proxy. */
export const smallFleet: FleetSpec = {
	dataCentres: [{name: 'colombo', routers: 2, targets}, {name: 'gampaha', routers: 2, targets}],
	services: [
		{name: 'tariff', standin: 'engine', config: {kind: 'model', initialCost: 20, maxCost: 40}},
		{
			name: 'ledger', standin: 'ledger', config: {
				kind: 'plain', repeat: 'never', initialCost: 1, maxCost: 2,
			},
		},
	],
	teams,
	proxies: {control: true, platform: true, targets: true},
	routerSettings: {log: {level: 'warn'}},
};

const mix = [
	{service: 'tariff', kind: 'chat', weight: 2},
	{service: 'tariff', kind: 'completion', weight: 2},
	{service: 'ledger', kind: 'debit', cost: {min: 0.5, max: 2}},
];

/** Resolves when `count` requests of the run have been answered. */
type Answered = (count: number) => Promise<void>;

export type RunOptions = {
	readonly durationMs?: number;
	/** Runs during the load, for example to inject faults. */
	readonly during?: (answered: Answered) => Promise<void>;
	/** Ids of the routers that the load is sent to; all routers if absent. */
	readonly routers?: readonly string[];
	readonly maxRetries?: number;
};

const PROGRESS_MS = 25;

/** Runs the load and `during` concurrently; resolves when both have ended. */
export const runLoadOn = async (fleet: Fleet, options: RunOptions = {}): Promise<LoadResult> => {
	const ids = options.routers ?? fleet.routers.map(({id}) => id);
	const waiting = new Set<{readonly count: number; readonly resolve: () => void}>();
	const answered: Answered = async count => new Promise(resolve => {
		waiting.add({count, resolve});
	});
	const cfg = loadSettingsSchema.parse({
		durationMs: options.durationMs ?? 2500,
		routers: ids.map(id => fleet.router(id).callers),
		targets: fleet.targets.map(({address}) => address),
		teams: teams.map(team => ({
			...team, mix, ratePerS: 20, deadlineMs: 3000, maxRetries: options.maxRetries ?? 3,
		})),
	});
	const onProgress = (tallies: LoadResult['tallies']): void => {
		const total = totalOf(tallies.values());
		for (const item of waiting) {
			if (total.answered >= item.count) {
				waiting.delete(item);
				item.resolve();
			}
		}
	};

	const [result] = await Promise.all([
		runLoad(cfg, monotonicClock, {onProgress, progressMs: PROGRESS_MS}),
		options.during?.(answered),
	]);
	return result;
};

/** Asserts that no response was lost, duplicated or delivered to another request, no debit ran twice or without a record at a target, and every "not run" was true. */
export const assertClean = (t: ExecutionContext, {total, comparison}: LoadResult): void => {
	t.deepEqual({
		faults: total.faults, doubled: comparison.doubled, falseNotRun: comparison.falseNotRun, phantom: comparison.phantom,
	}, {
		faults: [], doubled: [], falseNotRun: [], phantom: [],
	});
	t.true(total.answered > 0);
};
