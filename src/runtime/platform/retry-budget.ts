/**
 * Bounds retries to a share of the calls, so that an outage of the platform is not
 * answered with a multiple of the usual load.
 */
export type RetryBudget = {
	/** Notes a first attempt, which earns a share of a retry. */
	readonly noteCall: () => void;
	/** Takes one retry from the budget; false when it is used up. */
	readonly take: () => boolean;
};

/**
 * @param share - Retries allowed per call, on average.
 * @param burst - Retries that may be saved up.
 */
export const createRetryBudget = (share: number, burst: number): RetryBudget => {
	let available = burst;
	return {
		noteCall() {
			available = Math.min(burst, available + share);
		},
		take() {
			if (available < 1) {
				return false;
			}

			available -= 1;
			return true;
		},
	};
};
