/** The refusal of a request that a VM has no memory for. */
import {MAX_RETRY_WAIT_SHARE} from '../admission/retry-wait.js';
import {RefusalError} from '../errors/refusal-error.js';
import {VmOutOfMemory} from '../errors/refusals-data.js';

/** Bounds of Retry-After in milliseconds: another VM can serve at once, and stalled callers are ended here within a second. Random, so that callers refused together do not come back together. */
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 600;

/** @param waitsMs - Milliseconds that the caller waits, if it says so. */
export const memoryRefusal = (random: () => number, waitsMs = Infinity): RefusalError => new RefusalError(VmOutOfMemory, {}, {
	retryAfterMs: Math.min(waitsMs * MAX_RETRY_WAIT_SHARE, MIN_RETRY_MS + (random() * (MAX_RETRY_MS - MIN_RETRY_MS))),
});
