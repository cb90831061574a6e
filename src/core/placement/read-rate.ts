/** Learns how fast a service's model engines read prompts, from the times to first tokens. */

/** Tokens per millisecond that are assumed before anything was measured; low, so that little is sent at first. */
const INITIAL_TOKENS_PER_MS = 20;
/** Prompts below this many tokens say little about the rate. */
const MIN_SAMPLE_TOKENS = 1000;
/** Weight of one sample. */
const SAMPLE_WEIGHT = 0.05;
/** Bounds of one sample in tokens per millisecond, against clock faults and kept parts that were not known. */
const MIN_RATE = 2;
const MAX_RATE = 500;

export type ReadRate = {
	readonly tokensPerMs: () => number;
	/** Takes in that `tokens`, with all that was before them, were read in `ms`. */
	readonly note: (tokens: number, ms: number) => void;
};

export const createReadRate = (): ReadRate => {
	let rate = INITIAL_TOKENS_PER_MS;
	return {
		tokensPerMs: () => rate,
		note(tokens, ms) {
			if (tokens >= MIN_SAMPLE_TOKENS && ms > 0) {
				const sample = Math.min(MAX_RATE, Math.max(MIN_RATE, tokens / ms));
				rate += (sample - rate) * SAMPLE_WEIGHT;
			}
		},
	};
};
