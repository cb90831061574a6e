/**
 * Compares the measured times to first token at one model engine with those predicted from the
 * service's prefill rate.
 *
 * Load pattern: engines of one service whose machines differ in speed by a third, all kept busy.
 * With one rate for all of them, the slow ones get as many tokens as the others; their prompts
 * start late and the streams that they generate meanwhile pause too long.
 */

/** Milliseconds after which a sample counts 1/e. Some ten prompts of one VM start at an engine in this time. */
const DECAY_MS = 5000;
/** Least predicted milliseconds of a sample. Network latency and the engine's present step dominate shorter times. */
const MIN_PREDICTED_MS = 20;
/** Milliseconds of correct predictions that are assumed before the first sample, so that a single sample changes little. */
const PRIOR_MS = 400;
/** Bounds of the factor. A target that is further off fails, or the predictions do; both are handled elsewhere. */
const MIN_FACTOR = 0.6;
const MAX_FACTOR = 2.5;
/** Largest ratio of measured to predicted time that a sample counts with. A prompt whose prefix was evicted takes several times its prediction, which does not show the engine's speed. */
const MAX_SAMPLE_RATIO = 3;

export class PrefillPace {
	#predictedMs = 0;
	#measuredMs = 0;
	#atMs = -Infinity;

	/** Records a first token that came `measuredMs` after its request was sent; `predictedMs` is the prediction without this factor. */
	note(measuredMs: number, predictedMs: number, nowMs: number): void {
		if (predictedMs < MIN_PREDICTED_MS) {
			return;
		}

		const kept = this.#kept(nowMs);
		this.#predictedMs = (this.#predictedMs * kept) + predictedMs;
		this.#measuredMs = (this.#measuredMs * kept) + Math.min(measuredMs, predictedMs * MAX_SAMPLE_RATIO);
		this.#atMs = nowMs;
	}

	/** Returns the factor by which times to first token at this engine exceed their predictions; it decays to 1 without samples. */
	factor(nowMs: number): number {
		const kept = this.#kept(nowMs);
		return Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, ((this.#measuredMs * kept) + PRIOR_MS) / ((this.#predictedMs * kept) + PRIOR_MS)));
	}

	#kept(nowMs: number): number {
		return Math.exp(Math.min(0, this.#atMs - nowMs) / DECAY_MS);
	}
}
