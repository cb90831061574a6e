/** Estimates the prefill rate of a service's model engines from the times to first token. */

/** Tokens per millisecond that are assumed before the first sample. The rate is low, so that few requests are sent at first. */
const INITIAL_TOKENS_PER_MS = 20;
/** Bounds of one sample in tokens per millisecond. They limit the effect of clock errors and of cached prompt parts that this VM did not know of. */
const MIN_TOKENS_PER_MS = 2;
const MAX_TOKENS_PER_MS = 500;

/** Parameters that decide how samples change the estimate. */
export type SampleTerms = {
	/** Least tokens of a sample. The times of shorter prompts depend little on the rate. */
	readonly minTokens: number;
	/** Milliseconds of each time to first token that are not spent on prefill. Predictions add them again. */
	readonly overheadMs: number;
	/** Least weight of a sample above the estimate. */
	readonly riseWeight: number;
	/** Least weight of a sample below the estimate. */
	readonly fallWeight: number;
	/** Whether the first samples have equal weights, so that the estimate converges after a few. */
	readonly averagesFirstSamples: boolean;
};

/** Sample terms where only some of an engine's prompts are known. The weights are small, since the unknown prompts make the engine seem slower or faster. */
const SOME_PROMPTS_KNOWN: SampleTerms = {
	minTokens: 1000, overheadMs: 0, riseWeight: 0.05, fallWeight: 0.05, averagesFirstSamples: false,
};

/**
 * Sample terms where all prompts of an engine are known. Many samples are too low there, because
 * the prompt waited for a slot or because a part was not in the cache as expected. Samples below
 * the estimate therefore have little weight. Network latency and the first decode step take
 * about as long as the prefill of 1,000 tokens.
 */
export const ALL_PROMPTS_KNOWN: SampleTerms = {
	minTokens: 2000, overheadMs: 20, riseWeight: 0.2, fallWeight: 0.03, averagesFirstSamples: true,
};

export type PrefillRate = {
	/** Returns the estimated rate. */
	readonly tokensPerMs: () => number;
	/** Adds a sample: an engine prefilled `tokens` in `ms` milliseconds. The tokens include the backlog ahead of the prompt. */
	readonly note: (tokens: number, ms: number) => void;
};

/** @param initial - Tokens per millisecond that are assumed before the first sample. */
export const createPrefillRate = ({minTokens, overheadMs, riseWeight, fallWeight, averagesFirstSamples} = SOME_PROMPTS_KNOWN, initial = INITIAL_TOKENS_PER_MS): PrefillRate => {
	let rate = initial;
	let samples = 0;
	return {
		tokensPerMs: () => rate,
		note(tokens, ms) {
			if (tokens >= minTokens && ms > overheadMs) {
				const sample = Math.min(MAX_TOKENS_PER_MS, Math.max(MIN_TOKENS_PER_MS, tokens / (ms - overheadMs)));
				const weight = sample > rate ? riseWeight : fallWeight;
				samples++;
				rate += (sample - rate) * (averagesFirstSamples ? Math.max(weight, 1 / (samples + 1)) : weight);
			}
		},
	};
};
