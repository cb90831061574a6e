/** The figures of a demo run. */
import {type Fleet} from '../fleet/fleet.js';
import {
	fairnessGap, teamShares, utilisation, type FairnessGap, type TeamShare,
} from '../load/fairness.js';
import {joinIntervals} from '../load/intervals.js';
import {type LoadResult} from '../load/run-load.js';
import {historyOf} from '../load/service-history.js';
import {OUTAGE_DATA_CENTRE, MODEL_SERVICE, MODEL_SLOTS} from './demo-fleet.js';
import {type Outage} from './scenario.js';
import {demoTeams} from './teams.js';

export type Summary = {
	readonly shares: readonly TeamShare[];
	readonly fairnessGap: FairnessGap;
	readonly utilisation: number;
	/** Model requests that started at the data centre while it was out of service, after `PROPAGATION_MS`. */
	readonly lateNewWork: number;
};

/** Time after the removal of a data centre within which all routers must stop sending new requests to it. */
const PROPAGATION_MS = 3000;

/** Computes the figures of the model service from the result of a run. */
export const summarise = (fleet: Fleet, result: LoadResult, load: Outage, outage: Outage): Summary => {
	const targets = fleet.targets.filter(({service}) => service === MODEL_SERVICE);
	const runsAt = (dataCentre: string) => targets
		.filter(target => target.dataCentre === dataCentre)
		.flatMap(({address}) => result.records.get(address)?.runs ?? []);
	const runs = targets.flatMap(({address}) => result.records.get(address)?.runs ?? []);
	const teams = historyOf({
		service: MODEL_SERVICE, teams: demoTeams, results: result.results, runs,
	});
	const waiting = joinIntervals(teams.flatMap(team => team.waiting));
	const slots = targets.length * MODEL_SLOTS;
	const slotsLeft = targets.filter(({dataCentre}) => dataCentre !== OUTAGE_DATA_CENTRE).length * MODEL_SLOTS;
	const supply = [
		{fromMs: load.fromMs, toMs: outage.fromMs, slots},
		{...outage, slots: slotsLeft},
		{fromMs: outage.toMs, toMs: load.toMs, slots},
	];
	return {
		shares: teamShares(teams),
		fairnessGap: fairnessGap(teams, load),
		utilisation: utilisation(runs.map(run => ({fromMs: run.start_ms, toMs: Math.min(run.end_ms, load.toMs)})), supply, waiting),
		lateNewWork: runsAt(OUTAGE_DATA_CENTRE).filter(run => run.start_ms > outage.fromMs + PROPAGATION_MS && run.start_ms < outage.toMs).length,
	};
};
