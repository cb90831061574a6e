/**
 * Bounds the number of retries to a share of the first attempts, so that retries cannot multiply
 * the load of failing targets.
 */

/** Retries that one new request adds to the balance. */
const RETRIES_PER_REQUEST = 0.1;
/** Largest balance, in retries. */
const MAX_BALANCE = 20;
/** Retries a second that are allowed even when few new requests arrive. */
const MIN_RETRIES_PER_S = 1;

export type RetryBudget = {
	/** Records one new request to a service, which adds a fraction of a retry to the balance. */
	readonly deposit: (nowMs: number, service: string) => void;
	/** Withdraws one retry of a request to a service; returns false when none is left. */
	readonly tryWithdraw: (nowMs: number, service: string) => boolean;
};

/** Creates a budget for all services together, with a full balance. */
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
