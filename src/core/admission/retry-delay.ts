/**
 * Computes the retry delay that an overloaded VM returns to a refused caller. The delay is
 * random, since callers that are refused together and retry at the same moment would overload
 * the next VM.
 */
import {MAX_RETRY_WAIT_SHARE} from './retry-wait.js';

/** Least delay in milliseconds. A retry reaches the same VM unless that VM has left the rotation (docs/design/decisions-under-load.md). */
const MIN_RETRY_MS = 50;
/** Largest delay in milliseconds. Latency targets start at 300 ms, so with a longer delay most callers would get a late response even from an idle VM. */
const MAX_RETRY_MS = 500;
/** Milliseconds that the caller may already have waited before this VM accepted its connection. */
const MAX_UNREAD_MS = 300;

/**
 * Returns the retry delay in milliseconds.
 *
 * @param refusedShare - Share of the requests that is refused now. The larger it is, the longer is the time over which the retries are spread.
 * @param callerTimeoutMs - Milliseconds for which the caller waits for a response in all, if known.
 * @param random - Returns a number that is uniform in [0, 1).
 */
export const retryDelayMs = (refusedShare: number, callerTimeoutMs: number | undefined, random: () => number): number => {
	const spread = (MAX_RETRY_MS - MIN_RETRY_MS) * Math.max(0.2, refusedShare);
	const longest = callerTimeoutMs === undefined ? MAX_RETRY_MS : Math.max(callerTimeoutMs / 2, callerTimeoutMs - MAX_UNREAD_MS) * MAX_RETRY_WAIT_SHARE;
	const latest = Math.min(MIN_RETRY_MS + spread, longest);
	const earliest = Math.min(MIN_RETRY_MS, latest / 2);
	return earliest + (random() * (latest - earliest));
};
