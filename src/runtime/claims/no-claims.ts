/** Handling of idempotency keys where no table stores claims: every request with a key is refused. */
import {RefusalError} from '../../core/errors/refusal-error.js';
import {ClaimUnavailable} from '../../core/errors/refusals-data.js';
import {type Claims} from './types.js';

const RETRY_AFTER_MS = 1000;

/** Refuses every key, because without a table nothing shows that the key is unused. */
export const noClaims: Claims = {
	async claim() {
		throw new RefusalError(ClaimUnavailable, {}, {retryAfterMs: RETRY_AFTER_MS});
	},
};
