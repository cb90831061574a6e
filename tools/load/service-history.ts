/** Who waited for a service and who got it, from callers' results and targets' records. */
import {type Interval, joinIntervals} from './intervals.js';
import {type TargetRun} from './target-records.js';
import {type RequestResult} from './types.js';

/** Cost that a run charged to its team, at its start. */
export type Charge = {readonly atMs: number; readonly cost: number};

/** What one team wanted and got of one service. */
export type TeamHistory = {
	readonly name: string;
	readonly weight: number;
	/** When at least one of its requests waited. */
	readonly waiting: readonly Interval[];
	/** Ordered by time. */
	readonly charges: readonly Charge[];
	/** Cost of all that it asked for, each request once. */
	readonly wanted: number;
};

type HistoryInput = {
	readonly service: string;
	readonly teams: ReadonlyArray<{readonly name: string; readonly weight: number}>;
	readonly results: readonly RequestResult[];
	/** Runs of the service's targets. */
	readonly runs: readonly TargetRun[];
};

/** From each attempt's start to its run's, or to its end if it did not run. */
const waitingIntervals = (results: readonly RequestResult[], startsById: ReadonlyMap<string, number>): readonly Interval[] =>
	joinIntervals(results.flatMap(({attempts}) => attempts.map(({startMs, endMs, requestId}) =>
		({fromMs: startMs, toMs: startsById.get(requestId) ?? endMs}))));

/** Collects the history of each team with one service. */
export const historyOf = ({service, teams, results, runs}: HistoryInput): readonly TeamHistory[] => {
	const startsById = new Map(runs.toReversed().map(run => [run.request_id, run.start_ms]));
	return teams.map(({name, weight}) => {
		const own = results.filter(({plan}) => plan.team === name && plan.service === service);
		return {
			name, weight,
			waiting: waitingIntervals(own, startsById),
			charges: runs.filter(({team}) => team === name).map(run => ({atMs: run.start_ms, cost: run.cost})).toSorted((a, b) => a.atMs - b.atMs),
			wanted: own.reduce((sum, result) => sum + result.plan.cost, 0),
		};
	});
};
