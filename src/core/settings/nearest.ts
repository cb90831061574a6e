/** Suggests the known word that a mistyped one was meant to be. */

const MAX_DISTANCE = 3;

/** Levenshtein distance: insertions, removals and replacements between two words. */
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

/** The nearest of `known`, or undefined when none is near. */
export const nearest = (word: string, known: readonly string[]): string | undefined => {
	const ranked = known
		.map(candidate => ({candidate, steps: levenshteinDistance(word, candidate)}))
		.filter(({candidate, steps}) => steps <= Math.min(MAX_DISTANCE, Math.floor(candidate.length / 2)))
		.toSorted((a, b) => a.steps - b.steps);
	return ranked[0]?.candidate;
};
