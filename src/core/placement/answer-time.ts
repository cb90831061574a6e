/** Learns how long plain requests take at their targets, waits for a slot there included. */

/** Weight of one answer; some 20 answers of one VM are about a second under load. */
const WEIGHT = 0.05;
/** Mean deviations above the mean within which nearly all answers come, as retransmission timers assume of round trips. */
const DEVIATIONS = 2;

export type AnswerTime = {
	readonly note: (ms: number) => void;
	/** 0 before the first answer. */
	readonly meanMs: () => number;
	/** Milliseconds within which nearly all answers come. */
	readonly upperEstimateMs: () => number;
};

export const createAnswerTime = (): AnswerTime => {
	let mean: number | undefined;
	let deviation = 0;
	return {
		note(ms) {
			if (mean === undefined) {
				mean = ms;
				return;
			}

			deviation += (Math.abs(ms - mean) - deviation) * WEIGHT;
			mean += (ms - mean) * WEIGHT;
		},
		meanMs: () => mean ?? 0,
		upperEstimateMs: () => (mean ?? 0) + (DEVIATIONS * deviation),
	};
};
