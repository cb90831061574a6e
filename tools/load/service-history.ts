/** When each team had queued requests for a service, and the service it got, from callers' results and targets' records. */
import {type Interval, joinIntervals} from './intervals.js';
import {type RequestExecution} from './target-records.js';
import {type RequestResult} from './types.js';

/** Cost charged to a team at a point in time, in cost units and milliseconds since the epoch. */
export type Charge = {readonly atMs: number; readonly cost: number};

/** The demand of one team for one service, and the service it got. */
export type TeamHistory = {
	readonly name: string;
	readonly weight: number;
	/** Times at which at least one of its requests was queued. */
	readonly waiting: readonly Interval[];
	/** The charges to the team, ordered by time. */
	readonly charges: readonly Charge[];
	/** Total cost of its requests; a retried request counts once. */
	readonly wanted: number;
};

type HistoryInput = {
	readonly service: string;
	readonly teams: ReadonlyArray<{readonly name: string; readonly weight: number}>;
	readonly results: readonly RequestResult[];
	/** Executions of requests at the service's targets. */
	readonly runs: readonly RequestExecution[];
};

/** Returns the times in which an attempt was queued: from its start to its start at a target, or to its end if no target executed it. */
const waitingIntervals = (results: readonly RequestResult[], startsById: ReadonlyMap<string, number>): readonly Interval[] =>
	joinIntervals(results.flatMap(({attempts}) => attempts.map(({startMs, endMs, requestId}) =>
		({fromMs: startMs, toMs: startsById.get(requestId) ?? endMs}))));

/** Builds the history of each team for one service, with each request charged at its start at the target. */
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
