/** Service as it accrues: a running request's cost spreads evenly over its run. */
import {type Charge} from '../load/service-history.js';
import {type TargetRun} from '../load/target-records.js';

const SLICE_MS = 50;

/** Charges of one run in slices of time. */
const slicesOf = ({start_ms: startMs, end_ms: endMs, cost}: TargetRun): readonly Charge[] => {
	const count = Math.max(1, Math.ceil((endMs - startMs) / SLICE_MS));
	return Array.from({length: count}, (_, index) => ({
		atMs: startMs + ((endMs - startMs) * (index + 1) / count), cost: cost / count,
	}));
};

/** Charges of a team's runs, ordered by time. */
export const accruedCharges = (runs: readonly TargetRun[]): readonly Charge[] =>
	runs.flatMap(run => slicesOf(run)).toSorted((left, right) => left.atMs - right.atMs);
