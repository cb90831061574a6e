/** Creates the refusal of a request for which a VM has no free memory. */
import {MAX_RETRY_WAIT_SHARE} from '../admission/retry-wait.js';
import {RefusalError} from '../errors/refusal-error.js';
import {VmOutOfMemory} from '../errors/refusals-data.js';

/**
 * Bounds of the retry delay in milliseconds. The delay is short, since another VM can serve the
 * request at once, and this VM closes the responses of stalled callers within a second. The delay
 * is random, so that callers that are refused together do not retry together.
 */
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 600;

/**
 * Creates the refusal with a random retry delay.
 *
 * @param waitsMs - Milliseconds that the caller waits for a response, if known.
 */
export const memoryRefusal = (random: () => number, waitsMs = Infinity): RefusalError => new RefusalError(VmOutOfMemory, {}, {
	retryAfterMs: Math.min(waitsMs * MAX_RETRY_WAIT_SHARE, MIN_RETRY_MS + (random() * (MAX_RETRY_MS - MIN_RETRY_MS))),
});
