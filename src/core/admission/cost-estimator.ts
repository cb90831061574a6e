/**
 * Expected cost of a request before it runs: a blend of the recent mean of the team's
 * requests to the service and of the caller's hint. Each counts by how well it told the
 * team's past requests; a usual error of the hints by a factor is taken out.
 */

/** Weight of a new observation once the means have settled. */
const MIN_OBSERVATION_WEIGHT = 0.05;
/** Observations that the service's initial cost counts for. */
const INITIAL_WEIGHT = 4;
/** Part of the estimate that comes from the hint while little has been observed. */
const INITIAL_HINT_SHARE = 0.25;
/** Observations after which the errors seen decide that part. */
const MIN_HINTED_REQUESTS = 5;

type CostHistory = {
	readonly count: number;
	/** Those of them that came with a hint. */
	readonly hinted: number;
	readonly mean: number;
	readonly hintMean: number;
	/** Mean squared errors of what the mean and the corrected hint told. */
	readonly meanSquaredError: number;
	readonly hintSquaredError: number;
};

export type CostEstimator = {
	/** A request that came with `hint` ended with `cost`. */
	readonly observe: (team: string, service: string, cost: number, hint?: number) => void;
	readonly estimate: (team: string, service: string, options: {readonly initial: number; readonly max: number; readonly hint?: number}) => number;
};

const NO_HISTORY: CostHistory = {
	count: 0, hinted: 0, mean: 0, hintMean: 0, meanSquaredError: 0, hintSquaredError: 0,
};

const interpolate = (from: number, to: number, weight: number): number => from + (weight * (to - from));

/** The hint without the factor by which the team's hints are usually off. */
const correctHint = ({mean, hintMean}: CostHistory, hint: number): number => hintMean > 0 && mean > 0 ? hint * mean / hintMean : hint;

/** The more requests came without a hint, the less the first hints count. */
const initialHintShare = ({count, hinted}: CostHistory): number => {
	const unhinted = Math.min(count - hinted, 1 / MIN_OBSERVATION_WEIGHT);
	return INITIAL_HINT_SHARE * INITIAL_WEIGHT / (INITIAL_WEIGHT + unhinted);
};

const hintShare = (history: CostHistory): number => {
	const {hinted, meanSquaredError, hintSquaredError} = history;
	return hinted < MIN_HINTED_REQUESTS || meanSquaredError + hintSquaredError === 0 ? initialHintShare(history) : meanSquaredError / (meanSquaredError + hintSquaredError);
};

const updateHistory = (before: CostHistory, cost: number, hint: number | undefined): CostHistory => {
	const weight = Math.max(1 / (before.count + 1), MIN_OBSERVATION_WEIGHT);
	const hintWeight = Math.max(1 / (before.hinted + 1), MIN_OBSERVATION_WEIGHT);
	return {
		count: before.count + 1,
		hinted: before.hinted + (hint === undefined ? 0 : 1),
		mean: interpolate(before.mean, cost, weight),
		hintMean: hint === undefined ? before.hintMean : interpolate(before.hintMean, hint, hintWeight),
		meanSquaredError: interpolate(before.meanSquaredError, (cost - before.mean) ** 2, weight),
		hintSquaredError: hint === undefined ? before.hintSquaredError : interpolate(before.hintSquaredError, (cost - correctHint(before, hint)) ** 2, hintWeight),
	};
};

/** An estimator that has seen nothing. */
export const createCostEstimator = (): CostEstimator => {
	const teams = new Map<string, CostHistory>();
	const keyOf = (team: string, service: string) => `${team}/${service}`;

	return {
		observe(team, service, cost, hint) {
			const key = keyOf(team, service);
			teams.set(key, updateHistory(teams.get(key) ?? NO_HISTORY, cost, hint));
		},
		estimate(team, service, {initial, max, hint}) {
			const history = teams.get(keyOf(team, service)) ?? NO_HISTORY;
			const mean = ((history.mean * history.count) + (initial * INITIAL_WEIGHT)) / (history.count + INITIAL_WEIGHT);
			const estimate = hint === undefined ? mean : interpolate(mean, correctHint(history, hint), hintShare(history));
			return Math.min(max, Math.max(0, estimate));
		},
	};
};
