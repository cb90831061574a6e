/** The key with the highest count above zero, or undefined. Ties go to the first. */
export const keyWithHighestCount = <Key>(counts: ReadonlyMap<Key, number>): Key | undefined => {
	let best: Key | undefined;
	let bestCount = 0;
	for (const [key, count] of counts) {
		if (count > bestCount) {
			best = key;
			bestCount = count;
		}
	}

	return best;
};
