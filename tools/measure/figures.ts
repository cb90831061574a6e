/** The figures of a run. Request counts come only from the targets and the load generator, not from the routers under test. */
import {type Fleet} from '../fleet/fleet.js';
import {
	fairnessGap, largestCharge, teamShares, utilisation,
} from '../load/fairness.js';
import {
	intersect, joinIntervals, lengthOf, type Interval,
} from '../load/intervals.js';
import {type LoadResult} from '../load/run-load.js';
import {historyOf, type TeamHistory} from '../load/service-history.js';
import {percentilesOf} from '../load/tally.js';
import {type RequestExecution} from '../load/target-records.js';
import {MODEL_SERVICE, SLOTS} from './fleets.js';
import {accruedCharges} from './accrued-charges.js';
import {queueWaits} from './queue-waits.js';
import {type FaultHistory, type RunOptions, type TeamLoadSpec} from './types.js';

/** Time after the removal of a target or data centre within which all routers must stop sending new requests to it. */
const PROPAGATION_MS = 3000;
/** Time at the start of a run that most figures leave out, because targets are cold and costs unknown. */
export const WARM_UP_MS = 6000;
/** Length of the windows in which every team with queued requests must get some service. */
const STARVATION_WINDOW_MS = 5000;

export type Measurement = {
	readonly fleet: Fleet;
	readonly teams: readonly TeamLoadSpec[];
	readonly result: LoadResult;
	readonly faultHistory: FaultHistory;
	/** Start and end of the load, in milliseconds since the epoch. */
	readonly load: Interval;
	readonly controlBytes: number;
	readonly routerCpuUs: number;
};

export type Figures = Readonly<Record<string, unknown>>;

const runsAt = (result: LoadResult, addresses: readonly string[]): readonly RequestExecution[] =>
	addresses.flatMap(address => result.records.get(address)?.runs ?? []);

/** Returns the intervals of the load after the warm-up in which all routers could reach each other. */
const connectedIntervals = ({fromMs, toMs}: Interval, partitions: readonly Interval[]): readonly Interval[] => {
	const intervals: Interval[] = [];
	let startMs = fromMs + WARM_UP_MS;
	for (const partition of partitions) {
		intervals.push({fromMs: startMs, toMs: partition.fromMs});
		startMs = partition.toMs;
	}

	return [...intervals, {fromMs: startMs, toMs}].filter(interval => interval.toMs > interval.fromMs);
};

/** Returns the largest fairness gap and the largest 99th percentile over the given intervals. */
const worstGapOver = (intervals: readonly Interval[], histories: readonly TeamHistory[], largest: number) => {
	const gaps = intervals.map(interval => fairnessGap(histories, interval, largest));
	return {max: Math.max(0, ...gaps.map(({max}) => max)), p99: Math.max(0, ...gaps.map(({p99}) => p99))};
};

/** Counts the cases of a team that had queued requests throughout a window and got no service in it. */
const starvedWindows = (histories: readonly TeamHistory[], {fromMs, toMs}: Interval): number => {
	let count = 0;
	for (let startMs = fromMs; startMs + STARVATION_WINDOW_MS <= toMs; startMs += STARVATION_WINDOW_MS) {
		const endMs = startMs + STARVATION_WINDOW_MS;
		count += histories.filter(({waiting, charges}) =>
			waiting.some(part => part.fromMs <= startMs && part.toMs >= endMs)
			&& !charges.some(({atMs}) => atMs >= startMs && atMs <= endMs)).length;
	}

	return count;
};

/** Returns the number of slots of all targets in service, by interval, from the end of the warm-up to the end of the load. */
const slotSupplyOf = (targets: Fleet['targets'], load: Interval, {absences}: FaultHistory) => {
	const edges = [...new Set([load.fromMs + WARM_UP_MS, load.toMs, ...absences.flatMap(({fromMs, toMs}) => [fromMs, toMs])])].toSorted((a, b) => a - b);
	return edges.slice(0, -1).map((fromMs, index) => {
		const toMs = edges[index + 1]!;
		const absent = new Set(absences.filter(absence => absence.fromMs < toMs && absence.toMs > fromMs).flatMap(absence => absence.targets));
		return {fromMs, toMs, slots: SLOTS * targets.filter(({id}) => !absent.has(id)).length};
	});
};

/** Share of a window in which a team must have had queued requests for its service to count. */
const MIN_WAITING_SHARE = 0.95;

/** Returns the lowest ratio of service to fair share among the teams that had queued requests nearly all the time; undefined with fewer than two such teams. */
const worstTeamShare = (accrued: readonly TeamHistory[], window: Interval): number | undefined => {
	const waited = accrued.filter(({waiting}) => lengthOf(intersect(waiting, [window])) >= MIN_WAITING_SHARE * (window.toMs - window.fromMs));
	const got = waited.map(({charges, weight}) => {
		let cost = 0;
		for (const charge of charges) {
			cost += charge.atMs >= window.fromMs && charge.atMs <= window.toMs ? charge.cost : 0;
		}

		return cost / weight;
	});
	let total = 0;
	let weights = 0;
	for (const [index, {weight}] of waited.entries()) {
		total += got[index]! * weight;
		weights += weight;
	}

	return got.length > 1 ? Math.min(...got) * weights / total : undefined;
};

/** Returns the intervals in which targets executed requests, limited to the load after the warm-up. */
const busyIntervals = (runs: readonly RequestExecution[], {fromMs, toMs}: Interval): readonly Interval[] =>
	runs.map(run => ({fromMs: Math.max(run.start_ms, fromMs + WARM_UP_MS), toMs: Math.min(run.end_ms, toMs)})).filter(run => run.toMs > run.fromMs);

/** Counts the requests that started at targets out of service, after `PROPAGATION_MS`. */
const countLateStarts = ({fleet, result, faultHistory}: Measurement): number => {
	let count = 0;
	for (const {fromMs, toMs, targets} of faultHistory.absences) {
		const addresses = fleet.targets.filter(({id}) => targets.includes(id)).map(({address}) => address);
		count += runsAt(result, addresses).filter(run => run.start_ms > fromMs + PROPAGATION_MS && run.start_ms < toMs).length;
	}

	return count;
};

/** Computes all figures of a run, under the keys of the JSON report. */
export const figuresOf = (measurement: Measurement, options: RunOptions): Figures => {
	const {fleet, teams, result, faultHistory, load} = measurement;
	const targets = fleet.targets.filter(({service}) => service === MODEL_SERVICE);
	const runs = runsAt(result, targets.map(({address}) => address));
	const histories = historyOf({
		service: MODEL_SERVICE, teams, results: result.results, runs,
	});
	const accrued = histories.map(history => ({...history, charges: accruedCharges(runs.filter(({team}) => team === history.name))}));
	const largest = largestCharge(histories);
	const intervals = connectedIntervals(load, faultHistory.partitions);
	const gap = worstGapOver(intervals, accrued, largest);
	const waiting = joinIntervals(histories.flatMap(history => history.waiting));
	const shares = teamShares(histories);
	const {total, comparison} = result;
	const requests = Math.max(1, total.attempts);
	return {
		seed: options.seed,
		size: options.size,
		policy: options.policy,
		duration_ms: Math.round(load.toMs - load.fromMs),
		fairness_gap_max: gap.max,
		fairness_gap_p99: gap.p99,
		fairness_gap_at_start_max: worstGapOver(intervals, histories, largest).max,
		largest_cost: largest,
		worst_team_share: worstTeamShare(accrued, {fromMs: load.fromMs + WARM_UP_MS, toMs: load.toMs}) ?? null,
		starved_windows: starvedWindows(accrued, {fromMs: load.fromMs + WARM_UP_MS, toMs: load.toMs}),
		utilisation: utilisation(busyIntervals(runs, load), slotSupplyOf(targets, load, faultHistory), waiting),
		asked: total.asked,
		answered: total.answered,
		refused_by_reason: total.refusedByReason,
		retried_by_reason: total.retriedByReason,
		lost: total.lost,
		doubled: total.doubled + comparison.doubled.length,
		crossed: total.crossed,
		false_not_run: comparison.falseNotRun.length,
		cold_violations: comparison.coldViolations,
		cold_violations_unwarned: comparison.coldViolationsUnwarned,
		overloads: comparison.overloads,
		late_new_work: countLateStarts(measurement),
		control_bytes_per_request: measurement.controlBytes / requests,
		router_cpu_us_per_request: measurement.routerCpuUs / requests,
		queue_wait_ms: queueWaits(result),
		answer_ms: percentilesOf(total.responseUs),
		faults: total.faults,
		teams: shares,
	};
};
