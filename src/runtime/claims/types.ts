/** Idempotency keys: at most one request with a key runs. */
import {type AttemptOutcome} from '../../core/attempt/types.js';

export type KeyClaimRequest = {
	readonly team: string;
	readonly key: string;
	readonly requestId: string;
};

/** A key that this request holds. */
export type Claim = {
	/**
	 * Records how the request ended, so that a later call with the key learns it. A key
	 * whose request is known not to have run becomes free again.
	 */
	readonly settle: (outcome: AttemptOutcome, ran: 'no' | 'yes' | 'unknown') => void;
};

export type Claims = {
	/** Claims a key; rejects with a `RefusalError` that says not run. */
	readonly claim: (request: KeyClaimRequest) => Promise<Claim>;
};

/** Claims that are backed by a table and have to be closed. */
export type TableClaims = Claims & {
	/** Resolves when all settlements have been written or given up. */
	readonly close: () => Promise<void>;
};
