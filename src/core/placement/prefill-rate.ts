/** Learns how fast a service's model engines read prompts, from the times to first tokens. */

/** Tokens per millisecond that are assumed before anything was measured; low, so that little is sent at first. */
const INITIAL_TOKENS_PER_MS = 20;
/** Bounds of one sample in tokens per millisecond, against clock faults and kept parts that were not known. */
const MIN_RATE = 2;
const MAX_RATE = 500;

/** How samples are taken in. */
export type SampleTerms = {
	/** Prompts below this many tokens say little about the rate. */
	readonly minTokens: number;
	/** Milliseconds of a time to the first token that are not reading, and that a prediction adds. */
	readonly overheadMs: number;
	/** Least weight of a sample above the rate, and of one below it. */
	readonly riseWeight: number;
	readonly fallWeight: number;
	/** Whether the first samples count evenly, so that the rate is known after a few. */
	readonly startsEven: boolean;
};

/** Where only a part of what an engine reads is known: cautious, since the rest makes it seem slower or faster. */
const PARTLY_KNOWN: SampleTerms = {
	minTokens: 1000, overheadMs: 0, riseWeight: 0.05, fallWeight: 0.05, startsEven: false,
};

/**
 * Where all that an engine reads is known. What makes a sample too low is common there: a
 * wait for a slot, a part that was taken to be kept and was not. The way and the first step
 * take about as long as reading 1,000 tokens.
 */
export const ALL_KNOWN: SampleTerms = {
	minTokens: 2000, overheadMs: 20, riseWeight: 0.2, fallWeight: 0.03, startsEven: true,
};

export type PrefillRate = {
	readonly tokensPerMs: () => number;
	/** Takes in that `tokens`, with all that was before them, were read in `ms`. */
	readonly note: (tokens: number, ms: number) => void;
};

/** @param initial - Tokens per millisecond that are assumed at first. */
export const createPrefillRate = ({minTokens, overheadMs, riseWeight, fallWeight, startsEven} = PARTLY_KNOWN, initial = INITIAL_TOKENS_PER_MS): PrefillRate => {
	let rate = initial;
	let samples = 0;
	return {
		tokensPerMs: () => rate,
		note(tokens, ms) {
			if (tokens >= minTokens && ms > overheadMs) {
				const sample = Math.min(MAX_RATE, Math.max(MIN_RATE, tokens / (ms - overheadMs)));
				const weight = sample > rate ? riseWeight : fallWeight;
				samples++;
				rate += (sample - rate) * (startsEven ? Math.max(weight, 1 / (samples + 1)) : weight);
			}
		},
	};
};
