/** Charges the cost of a request evenly over its execution, instead of all at its start. */
import {type Charge} from '../load/service-history.js';
import {type RequestExecution} from '../load/target-records.js';

/** Longest time between two charges of a request. */
const SLICE_MS = 50;

/** Divides the cost of one execution into equal charges over its duration. */
const slicesOf = ({start_ms: startMs, end_ms: endMs, cost}: RequestExecution): readonly Charge[] => {
	const count = Math.max(1, Math.ceil((endMs - startMs) / SLICE_MS));
	return Array.from({length: count}, (_, index) => ({
		atMs: startMs + ((endMs - startMs) * (index + 1) / count), cost: cost / count,
	}));
};

/** Returns the charges of a team's executions, ordered by time. */
export const accruedCharges = (runs: readonly RequestExecution[]): readonly Charge[] =>
	runs.flatMap(run => slicesOf(run)).toSorted((left, right) => left.atMs - right.atMs);
