/**
 * Returns the level of a max-min fair division: demands up to the level are met in full, and
 * larger ones receive the level.
 *
 * @param demands - Amount that each participant demands.
 * @param capacity - Amount to divide, in the same unit.
 * @returns Infinity when the capacity meets all demands.
 */
export const maxMinLevel = (demands: readonly number[], capacity: number): number => {
	const sorted = demands.toSorted((a, b) => a - b);
	let remaining = capacity;
	for (const [index, demand] of sorted.entries()) {
		const evenShare = remaining / (sorted.length - index);
		if (demand > evenShare) {
			return evenShare;
		}

		remaining -= demand;
	}

	return Infinity;
};
