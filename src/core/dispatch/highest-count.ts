/** Returns the first of the keys with the highest count; undefined when no count is above zero. */
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
