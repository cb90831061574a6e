/**
 * Limits retries to a share of the calls, so that an outage of the platform does not
 * multiply the load on it.
 */
export type RetryBudget = {
	/** Counts a first attempt, which adds a fraction of a retry to the budget. */
	readonly noteCall: () => void;
	/** Takes one retry from the budget. Returns false if the budget is used up. */
	readonly take: () => boolean;
};

/**
 * @param share - Retries allowed per call, on average.
 * @param burst - Most retries that the budget can contain; it starts with this number.
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
