/**
 * Bounds retries to a share of fresh requests, so that retries cannot multiply the load
 * of targets that are failing.
 */

/** Retries earned by one fresh request. */
const RETRIES_PER_REQUEST = 0.1;
/** Retries that can be saved up. */
const MAX_BALANCE = 20;
/** Retries a second that are allowed even when few fresh requests come. */
const MIN_RETRIES_PER_S = 1;

export type RetryBudget = {
	/** Counts one fresh request to a service. */
	readonly deposit: (nowMs: number, service: string) => void;
	/** Takes one retry; false when none is left. */
	readonly tryWithdraw: (nowMs: number, service: string) => boolean;
};

/** A budget that starts full. */
export const createRetryBudget = () => {
	let balance = MAX_BALANCE;
	let updatedMs: number | undefined;
	const add = (amount: number) => {
		balance = Math.min(MAX_BALANCE, balance + amount);
	};

	return {
		deposit() {
			add(RETRIES_PER_REQUEST);
		},
		tryWithdraw(nowMs: number): boolean {
			add((nowMs - (updatedMs ?? nowMs)) * MIN_RETRIES_PER_S / 1000);
			updatedMs = nowMs;
			if (balance < 1) {
				return false;
			}

			balance--;
			return true;
		},
	} satisfies RetryBudget;
};
