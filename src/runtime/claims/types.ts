/** Types for claims of idempotency keys. Of all requests of a team with the same key, at most one is executed. */
import {type AttemptOutcome} from '../../core/attempt/types.js';

export type KeyClaimRequest = {
	readonly team: string;
	readonly key: string;
	readonly requestId: string;
};

/** A key that a request has claimed. */
export type Claim = {
	/**
	 * Records how the request ended, so that a later request with the key is refused for the right
	 * reason. With `ran` as `no` the key can be claimed again.
	 */
	readonly settle: (outcome: AttemptOutcome, ran: 'no' | 'yes' | 'unknown') => void;
};

export type Claims = {
	/** Claims a key. Rejects with a `RefusalError` whose `notRun` is true when the key is taken or cannot be checked. */
	readonly claim: (request: KeyClaimRequest) => Promise<Claim>;
};

/** Claims that are stored in a table and have to be closed. */
export type TableClaims = Claims & {
	/** Resolves when the final state of every claim has been written, or its writes have failed for good. */
	readonly close: () => Promise<void>;
};
