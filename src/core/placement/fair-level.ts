/**
 * The level of a max-min division: who asks for less than the level receives all of it,
 * the others receive the level.
 *
 * @param demands - What each one asks for.
 * @param capacity - What there is to divide, in the same unit.
 * @returns Infinity when there is enough for all.
 */
export const fairLevel = (demands: readonly number[], capacity: number): number => {
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
