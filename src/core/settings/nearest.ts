/** Suggests a known word for a mistyped one. */

const MAX_DISTANCE = 3;

/** Returns the number of insertions, removals and replacements between two words. */
const levenshteinDistance = (left: string, right: string): number => {
	let row = Array.from({length: right.length + 1}, (_, index) => index);
	for (let i = 1; i <= left.length; i++) {
		const next = [i];
		for (let j = 1; j <= right.length; j++) {
			const replaced = (row[j - 1] ?? 0) + (left[i - 1] === right[j - 1] ? 0 : 1);
			next.push(Math.min(replaced, (row[j] ?? 0) + 1, (next[j - 1] ?? 0) + 1));
		}

		row = next;
	}

	return row[right.length] ?? 0;
};

/** Returns the word of `known` with the smallest distance from `word`, or undefined when every distance is too large. */
export const nearest = (word: string, known: readonly string[]): string | undefined => {
	const ranked = known
		.map(candidate => ({candidate, steps: levenshteinDistance(word, candidate)}))
		.filter(({candidate, steps}) => steps <= Math.min(MAX_DISTANCE, Math.floor(candidate.length / 2)))
		.toSorted((a, b) => a.steps - b.steps);
	return ranked[0]?.candidate;
};
