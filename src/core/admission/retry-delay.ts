/**
 * Computes the retry delay of a caller that an overloaded VM refuses. The delay is random:
 * if all callers that are refused together retried at the same moment, they would overload
 * the next VM.
 */
import {MAX_RETRY_WAIT_SHARE} from './retry-wait.js';

/** Least delay in milliseconds. It can be short: a new connection in most cases reaches another VM, which can serve at once. */
const MIN_RETRY_MS = 50;
/** Largest delay in milliseconds. After a longer one, most callers get a late response even from an idle VM (latency targets start at 300 ms). */
const MAX_RETRY_MS = 500;
/** Milliseconds of the caller's time that may have passed before its connection was accepted. */
const MAX_UNREAD_MS = 300;

/**
 * Returns the retry delay in milliseconds.
 *
 * @param refusedShare - Share of the requests that is refused now. Many refused callers are spread over a longer time than a few.
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
