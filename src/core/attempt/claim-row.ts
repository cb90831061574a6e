/** Rows of the table of idempotency keys, and what a taken key means for a new request. */
import * as z from 'zod';
import {RefusalError} from '../errors/refusal-error.js';
import {KeyAlreadyUsed, KeyInProgress} from '../errors/refusals-data.js';

/**
 * State of the request that holds a key: `started` until its end is recorded; `not_run`
 * frees the key.
 */
export type ClaimState = 'started' | 'answered' | 'unknown' | 'not_run';

/** The value of row `TEAM/KEY`. */
export type ClaimRow = {
	readonly request_id: string;
	readonly state: ClaimState;
	/** Wall-clock time of the last write; only the sweep of old rows reads it. */
	readonly at_ms: number;
};

const rowSchema = z.looseObject({
	request_id: z.string(),
	state: z.string(),
});

/** Milliseconds after which the outcome of the first request may be known. */
const IN_PROGRESS_RETRY_MS = 1000;

export const claimRowKey = (team: string, key: string): string => `${team}/${key}`;

/** What the table's row means for `requestId`: its own, free to take, or a refusal. */
export type ClaimVerdict = 'own' | 'free' | RefusalError;

/** Judges a row that was found where none was expected. A row that cannot be read is taken. */
export const interpretClaimRow = (value: unknown, requestId: string): ClaimVerdict => {
	const {data: row} = rowSchema.safeParse(value);
	if (!row) {
		return new RefusalError(KeyInProgress, {holder: 'unknown'});
	}

	if (row.request_id === requestId) {
		return 'own';
	}

	if (row.state === 'not_run') {
		return 'free';
	}

	return row.state === 'started'
		? new RefusalError(KeyInProgress, {holder: row.request_id}, {retryAfterMs: IN_PROGRESS_RETRY_MS})
		: new RefusalError(KeyAlreadyUsed, {holder: row.request_id, state: row.state});
};

/** State to record at the end of a request. */
export const finalClaimState = (ran: 'no' | 'yes' | 'unknown'): ClaimState => {
	if (ran === 'no') {
		return 'not_run';
	}

	return ran === 'yes' ? 'answered' : 'unknown';
};
