/** Sets of points in time, as ordered lists of disjoint intervals. */

export type Interval = {readonly fromMs: number; readonly toMs: number};

/** Merges intervals that touch or overlap, and drops empty ones. */
export const joinIntervals = (intervals: readonly Interval[]): readonly Interval[] => {
	const joined: Interval[] = [];
	for (const interval of intervals.filter(({fromMs, toMs}) => toMs > fromMs).toSorted((a, b) => a.fromMs - b.fromMs)) {
		const last = joined.at(-1);
		if (last && interval.fromMs <= last.toMs) {
			joined[joined.length - 1] = {fromMs: last.fromMs, toMs: Math.max(last.toMs, interval.toMs)};
		} else {
			joined.push(interval);
		}
	}

	return joined;
};

/** Returns the intersection of two sets. */
export const intersect = (left: readonly Interval[], right: readonly Interval[]): readonly Interval[] => {
	const common: Interval[] = [];
	let i = 0;
	let j = 0;
	while (i < left.length && j < right.length) {
		const a = left[i]!;
		const b = right[j]!;
		const fromMs = Math.max(a.fromMs, b.fromMs);
		const toMs = Math.min(a.toMs, b.toMs);
		if (toMs > fromMs) {
			common.push({fromMs, toMs});
		}

		if (a.toMs < b.toMs) {
			i += 1;
		} else {
			j += 1;
		}
	}

	return common;
};

/** Returns the total length of a set, in milliseconds. */
export const lengthOf = (intervals: readonly Interval[]): number =>
	intervals.reduce((sum, {fromMs, toMs}) => sum + toMs - fromMs, 0);
