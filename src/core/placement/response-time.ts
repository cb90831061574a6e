/** Estimates the response time of a service without a model engine at its targets, including the wait for a slot there. */

/** Weight of one response in the averages. The averages follow about the last 20 responses, which a VM under load receives in about a second. */
const WEIGHT = 0.05;
/** Mean deviations above the mean within which nearly all responses arrive. Retransmission timers bound round-trip times in the same way. */
const DEVIATIONS = 2;

export type ResponseTime = {
	readonly note: (ms: number) => void;
	/** Returns the mean response time in milliseconds; 0 before the first response. */
	readonly meanMs: () => number;
	/** Returns the milliseconds within which nearly all responses arrive. */
	readonly upperEstimateMs: () => number;
};

export const createResponseTime = (): ResponseTime => {
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
