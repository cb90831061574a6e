/** Measures of fairness over a run, from what callers and targets saw. */
import {
	intersect, joinIntervals, lengthOf, type Interval,
} from './intervals.js';
import {type Charge, type TeamHistory} from './service-history.js';

const HIGH_PERCENTILE = 0.99;

/** Differences of normalised service, in units of the largest single request. */
export type FairnessGap = {
	readonly max: number;
	readonly p99: number;
	/** Windows in which two teams were backlogged together. */
	readonly windows: number;
};

/** Team service over due share. */
export type TeamShare = {
	readonly name: string;
	readonly wanted: number;
	readonly got: number;
	readonly due: number;
};

const chargesWithin = (charges: readonly Charge[], {fromMs, toMs}: Interval): readonly Charge[] =>
	charges.filter(({atMs}) => atMs >= fromMs && atMs <= toMs);

/** Largest difference over all parts of one window. */
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

/** The largest single charge of any team. */
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
 * The gap between each two teams over every window in which both waited. The unit of a
 * pair is the largest request over the smaller weight: what one request can add.
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
 * Due shares by weighted max-min fairness: nobody is due more than it wanted, and what
 * one leaves goes to the others by weight.
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

/** Each team's service against its due share of all service given. */
export const teamShares = (teams: readonly TeamHistory[]): readonly TeamShare[] => {
	const got = teams.map(({charges}) => charges.reduce((sum, {cost}) => sum + cost, 0));
	const due = maxMinShares(got.reduce((sum, cost) => sum + cost, 0), teams);
	return teams.map(({name, wanted}, index) => ({
		name, wanted, got: got[index] ?? 0, due: due[index] ?? 0,
	}));
};

/** Slots that a service was allowed to use during an interval. */
export type SlotSupply = Interval & {readonly slots: number};

/** Busy slot time over allowed slot time while work waited; 1 if none waited. */
export const utilisation = (running: readonly Interval[], supply: readonly SlotSupply[], waiting: readonly Interval[]): number => {
	const allowed = supply.reduce((sum, part) => sum + (part.slots * lengthOf(intersect(waiting, [part]))), 0);
	const counted = intersect(waiting, joinIntervals(supply));
	const busy = running.reduce((sum, run) => sum + lengthOf(intersect(counted, [run])), 0);
	return allowed === 0 ? 1 : busy / allowed;
};
