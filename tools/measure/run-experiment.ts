/** Runs one experiment: starts its fleet, sends its load and injects its faults. */
import {setTimeout as delay} from 'node:timers/promises';
import {monotonicClock} from '../../src/runtime/monotonic-clock.js';
import {sumOverRouters} from '../demo/metrics-sum.js';
import {type Fleet} from '../fleet/fleet.js';
import {startFleet} from '../fleet/start-fleet.js';
import {runLoad, totalOf} from '../load/run-load.js';
import {loadSettingsSchema} from '../load/settings.js';
import {figuresOf, type Figures, type Measurement} from './figures.js';
import {fleetFor, tokenOf} from './fleets.js';
import {
	type Experiment, type FaultHistory, type RunOptions, type TeamLoadSpec,
} from './types.js';

const PROGRESS_MS = 2000;
const US_PER_S = 1e6;
/** Time after which the routers have updated their metrics of control bytes. */
const METRICS_LAG_MS = 1000;
const ROUTERS = 7;

/** Every byte that one VM sends is received by another, so only one direction is counted. */
const CONTROL_BYTES = 'jackdawwood_control_bytes{direction="sent"}';
const CPU_SECONDS = 'jackdawwood_cpu_seconds ';

const loadFor = (fleet: Fleet, teams: readonly TeamLoadSpec[], durationMs: number, seed: number) => loadSettingsSchema.parse({
	seed, durationMs,
	routers: fleet.routers.map(({callers}) => callers),
	targets: fleet.targets.map(({address}) => address),
	teams: teams.map(({routers, ...team}) => ({
		...team,
		token: tokenOf(team.name),
		...(routers && {routers: routers.map(index => fleet.routers[index]?.callers)}),
	})),
});

const noFaults = async (): Promise<FaultHistory> => ({absences: [], partitions: []});

const measure = async (fleet: Fleet, experiment: Experiment, teams: readonly TeamLoadSpec[], options: RunOptions): Promise<Measurement> => {
	const durationMs = options.durationMs ?? experiment.durationMs;
	const bytesBefore = await sumOverRouters(fleet, CONTROL_BYTES);
	const cpuBefore = await sumOverRouters(fleet, CPU_SECONDS);
	const fromMs = Date.now();
	const [result, faultHistory] = await Promise.all([
		runLoad(loadFor(fleet, teams, durationMs, options.seed), monotonicClock, {
			progressMs: PROGRESS_MS,
			onProgress(tallies, elapsedMs) {
				const {asked, answered, refused, lost} = totalOf(tallies.values());
				options.say(`${(elapsedMs / 1000).toFixed(0).padStart(4)} s  asked ${asked}  answered ${answered}  refused ${refused}  lost ${lost}`);
			},
		}),
		(experiment.schedule ?? noFaults)(fleet, options.say),
	]);
	await delay(METRICS_LAG_MS);
	return {
		fleet, teams, result, faultHistory,
		load: {fromMs, toMs: fromMs + durationMs},
		controlBytes: await sumOverRouters(fleet, CONTROL_BYTES) - bytesBefore,
		routerCpuUs: (await sumOverRouters(fleet, CPU_SECONDS) - cpuBefore) * US_PER_S,
	};
};

/** Runs an experiment on a new fleet; resolves with the figures. */
export const runExperiment = async (experiment: Experiment, options: RunOptions): Promise<Figures> => {
	const teams = experiment.teams(ROUTERS);
	options.say(`${experiment.name}: ${options.size}, policy ${options.policy}, seed ${options.seed}`);
	const fleet = await startFleet(fleetFor(experiment, teams, options));
	try {
		return {experiment: experiment.name, ...figuresOf(await measure(fleet, experiment, teams, options), options)};
	} finally {
		await fleet.close();
	}
};
