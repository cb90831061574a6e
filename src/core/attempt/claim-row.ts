/** Rows of the store's table of idempotency keys (claim rows), and the meaning of an existing row for a new request. */
import * as z from 'zod';
import {RefusalError} from '../errors/refusal-error.js';
import {KeyAlreadyUsed, KeyInProgress} from '../errors/refusals-data.js';

/** State of the request that claimed a key. It is `started` until the end of the request is recorded. With `not_run`, the key is available again. */
export type ClaimState = 'started' | 'answered' | 'unknown' | 'not_run';

/** The value of row `TEAM/KEY`. */
export type ClaimRow = {
	readonly request_id: string;
	readonly state: ClaimState;
	/** Wall-clock time of the last write in milliseconds; used only to delete old rows. */
	readonly at_ms: number;
};

const rowSchema = z.looseObject({
	request_id: z.string(),
	state: z.string(),
});

/** Retry delay in milliseconds while the request that claimed the key is running. */
const IN_PROGRESS_RETRY_MS = 1000;

export const claimRowKey = (team: string, key: string): string => `${team}/${key}`;

/** Meaning of a claim row for a request: `own` if the request itself claimed the key, `free` if the key is available, otherwise the refusal. */
export type ClaimVerdict = 'own' | 'free' | RefusalError;

/** Interprets an existing claim row for the request `requestId`. A row that cannot be parsed counts as claimed by another request. */
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

/** Returns the claim state to record at the end of a request. */
export const finalClaimState = (ran: 'no' | 'yes' | 'unknown'): ClaimState => {
	if (ran === 'no') {
		return 'not_run';
	}

	return ran === 'yes' ? 'answered' : 'unknown';
};
