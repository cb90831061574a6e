/** Learns how fast a service's model engines read prompts, from the times to first tokens. */

/** Tokens per millisecond that are assumed before anything was measured; low, so that little is sent at first. */
const INITIAL_TOKENS_PER_MS = 20;
/** Prompts below this many tokens say little about the rate: the way and the first step take as long. */
const MIN_SAMPLE_TOKENS = 2000;
/** Milliseconds of a time to the first token that are not reading: the way there and back, and the first step. */
const OVERHEAD_MS = 20;
/**
 * Least weight of a sample above the rate and of one below it. What makes a sample too low
 * is common: a wait for a slot, a part that was taken to be kept and was not.
 */
const RISE_WEIGHT = 0.2;
const FALL_WEIGHT = 0.03;
/** Bounds of one sample in tokens per millisecond, against clock faults and kept parts that were not known. */
const MIN_RATE = 2;
const MAX_RATE = 500;

export type ReadRate = {
	readonly tokensPerMs: () => number;
	/** Takes in that `tokens`, with all that was before them, were read in `ms`. */
	readonly note: (tokens: number, ms: number) => void;
};

/** @param initial - Tokens per millisecond that are assumed at first. */
export const createReadRate = (initial = INITIAL_TOKENS_PER_MS): ReadRate => {
	let rate = initial;
	let samples = 0;
	return {
		tokensPerMs: () => rate,
		note(tokens, ms) {
			if (tokens >= MIN_SAMPLE_TOKENS && ms > OVERHEAD_MS) {
				const sample = Math.min(MAX_RATE, Math.max(MIN_RATE, tokens / (ms - OVERHEAD_MS)));
				samples++;
				rate += (sample - rate) * Math.max(sample > rate ? RISE_WEIGHT : FALL_WEIGHT, 1 / (samples + 1));
			}
		},
	};
};
