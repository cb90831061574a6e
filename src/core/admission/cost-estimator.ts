/**
 * Estimates the cost of a request before it runs, as a weighted average of the recent mean
 * cost of the team's requests to the service and of the caller's hint. Each is weighted by
 * how well it predicted the team's past requests; hints that are typically off by a factor
 * are corrected by that factor.
 */

/** Weight of a new observation once the means have converged. */
const MIN_OBSERVATION_WEIGHT = 0.05;
/** Weight of the service's initial cost in the estimate, as a number of observations. */
const INITIAL_WEIGHT = 4;
/** Weight of the hint in the estimate while few requests with a hint have been observed. */
const INITIAL_HINT_SHARE = 0.25;
/** Number of observed requests with a hint after which the weight of the hint follows from the prediction errors. */
const MIN_HINTED_REQUESTS = 5;

/** Observed costs and hints of one team's requests to one service. */
type CostHistory = {
	readonly count: number;
	/** Observed requests that came with a hint. */
	readonly hinted: number;
	/** Means of the costs and of the hints. */
	readonly mean: number;
	readonly hintMean: number;
	/** Mean squared errors of the mean and of the corrected hint as predictions of the cost. */
	readonly meanSquaredError: number;
	readonly hintSquaredError: number;
};

export type CostEstimator = {
	/** Records the cost of a request that has ended, and the hint that it came with. */
	readonly observe: (team: string, service: string, cost: number, hint?: number) => void;
	/** Returns the estimated cost of a new request, from 0 to `max`; `initial` is the service's initial cost. */
	readonly estimate: (team: string, service: string, options: {readonly initial: number; readonly max: number; readonly hint?: number}) => number;
};

const NO_HISTORY: CostHistory = {
	count: 0, hinted: 0, mean: 0, hintMean: 0, meanSquaredError: 0, hintSquaredError: 0,
};

const interpolate = (from: number, to: number, weight: number): number => from + (weight * (to - from));

/** Divides the hint by the factor by which the team's hints are off on average. */
const correctHint = ({mean, hintMean}: CostHistory, hint: number): number => hintMean > 0 && mean > 0 ? hint * mean / hintMean : hint;

/** Weight of a hint while few hints have been observed. It falls with the number of requests without a hint. */
const initialHintShare = ({count, hinted}: CostHistory): number => {
	const unhinted = Math.min(count - hinted, 1 / MIN_OBSERVATION_WEIGHT);
	return INITIAL_HINT_SHARE * INITIAL_WEIGHT / (INITIAL_WEIGHT + unhinted);
};

/** Returns the weight of a hint: the larger the error of the mean is compared with that of the hints, the more the hint counts. */
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

/** Creates an estimator without observations. */
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
