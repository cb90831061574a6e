/** Fairness measures of a load run, from the results of callers and the records of targets. */
import {
	intersect, joinIntervals, lengthOf, type Interval,
} from './intervals.js';
import {type Charge, type TeamHistory} from './service-history.js';

const HIGH_PERCENTILE = 0.99;

/** Differences between the weighted service of two teams, in units of the largest single request. */
export type FairnessGap = {
	readonly max: number;
	readonly p99: number;
	/** Number of windows in which two teams were backlogged at the same time. */
	readonly windows: number;
};

/** Demand (`wanted`), service (`got`) and max-min fair share (`due`) of a team, in cost units. */
export type TeamShare = {
	readonly name: string;
	readonly wanted: number;
	readonly got: number;
	readonly due: number;
};

const chargesWithin = (charges: readonly Charge[], {fromMs, toMs}: Interval): readonly Charge[] =>
	charges.filter(({atMs}) => atMs >= fromMs && atMs <= toMs);

/** Returns the largest difference of weighted service between two teams over all subintervals of a window. */
const gapWithin = (window: Interval, left: TeamHistory, right: TeamHistory): number => {
	const steps = [
		...chargesWithin(left.charges, window).map(({atMs, cost}) => ({atMs, change: cost / left.weight})),
		...chargesWithin(right.charges, window).map(({atMs, cost}) => ({atMs, change: -cost / right.weight})),
	].toSorted((a, b) => a.atMs - b.atMs);
	let difference = 0;
	let lowest = 0;
	let highest = 0;
	for (const {change} of steps) {
		difference += change;
		lowest = Math.min(lowest, difference);
		highest = Math.max(highest, difference);
	}

	return highest - lowest;
};

const pairsOf = (teams: readonly TeamHistory[]): ReadonlyArray<readonly [TeamHistory, TeamHistory]> =>
	teams.flatMap((left, index) => teams.slice(index + 1).map(right => [left, right] as const));

/** Returns the largest single charge of all teams, in cost units. */
export const largestCharge = (teams: readonly TeamHistory[]): number => {
	let largest = 0;
	for (const {charges} of teams) {
		for (const {cost} of charges) {
			largest = Math.max(largest, cost);
		}
	}

	return largest;
};

/**
 * Computes the gap between every two teams over all windows in which both had queued requests.
 * The unit of a pair is the cost of the largest request divided by the smaller of the two weights:
 * the most that one request can add to the difference.
 */
export const fairnessGap = (teams: readonly TeamHistory[], window: Interval, largest = largestCharge(teams)): FairnessGap => {
	const gaps = pairsOf(teams).flatMap(([left, right]) => {
		const unit = largest / Math.min(left.weight, right.weight);
		return intersect(intersect(left.waiting, right.waiting), [window]).map(common => gapWithin(common, left, right) / unit);
	}).toSorted((a, b) => a - b);
	return {
		max: gaps.at(-1) ?? 0,
		p99: gaps[Math.floor(gaps.length * HIGH_PERCENTILE)] ?? 0,
		windows: gaps.length,
	};
};

/**
 * Divides a total by weighted max-min fairness: no team gets more than its demand, and what
 * a team leaves is divided between the others by weight.
 */
export const maxMinShares = (total: number, teams: ReadonlyArray<{readonly weight: number; readonly wanted: number}>): readonly number[] => {
	const order = teams.map((team, index) => ({...team, index})).toSorted((a, b) => (a.wanted / a.weight) - (b.wanted / b.weight));
	const due = teams.map(() => 0);
	let left = total;
	let weightLeft = order.reduce((sum, {weight}) => sum + weight, 0);
	for (const {index, weight, wanted} of order) {
		const share = Math.min(wanted, left * weight / weightLeft);
		due[index] = share;
		left -= share;
		weightLeft -= weight;
	}

	return due;
};

/** Returns the service of each team and its max-min fair share of all teams' service. */
export const teamShares = (teams: readonly TeamHistory[]): readonly TeamShare[] => {
	const got = teams.map(({charges}) => charges.reduce((sum, {cost}) => sum + cost, 0));
	const due = maxMinShares(got.reduce((sum, cost) => sum + cost, 0), teams);
	return teams.map(({name, wanted}, index) => ({
		name, wanted, got: got[index] ?? 0, due: due[index] ?? 0,
	}));
};

/** The number of slots that a service could use during an interval. */
export type SlotSupply = Interval & {readonly slots: number};

/** Returns the share of the available slot time that was in use while requests were queued; 1 if none were queued. */
export const utilisation = (running: readonly Interval[], supply: readonly SlotSupply[], waiting: readonly Interval[]): number => {
	const allowed = supply.reduce((sum, part) => sum + (part.slots * lengthOf(intersect(waiting, [part]))), 0);
	const counted = intersect(waiting, joinIntervals(supply));
	const busy = running.reduce((sum, run) => sum + lengthOf(intersect(counted, [run])), 0);
	return allowed === 0 ? 1 : busy / allowed;
};
