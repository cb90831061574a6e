/**
 * The time after which a caller that a flooded VM refused should come back. It differs
 * between callers that are refused together: if they all came back at one moment, they
 * would flood the next VM.
 */
import {MAX_RETRY_WAIT_SHARE} from './retry-wait.js';

/** Milliseconds: a new connection reaches another VM in most cases, which can serve at once. */
const MIN_RETRY_MS = 50;
/** Milliseconds; beyond that most callers get a late answer even from an idle VM (latency targets from 300 ms). */
const MAX_RETRY_MS = 500;
/** Milliseconds of the remaining time that may have passed since the caller sent its request, while its connection was not accepted yet. */
const MAX_UNREAD_MS = 300;

/**
 * Milliseconds after which to come back.
 *
 * @param refusedShare - Part of the requests that is refused now; many need a wide spread, a few a short delay.
 * @param callerTimeoutMs - Milliseconds for which the caller waits in all, if known.
 * @param random - Uniform in [0, 1).
 */
export const retryDelayMs = (refusedShare: number, callerTimeoutMs: number | undefined, random: () => number): number => {
	const spread = (MAX_RETRY_MS - MIN_RETRY_MS) * Math.max(0.2, refusedShare);
	const longest = callerTimeoutMs === undefined ? MAX_RETRY_MS : Math.max(callerTimeoutMs / 2, callerTimeoutMs - MAX_UNREAD_MS) * MAX_RETRY_WAIT_SHARE;
	const latest = Math.min(MIN_RETRY_MS + spread, longest);
	const earliest = Math.min(MIN_RETRY_MS, latest / 2);
	return earliest + (random() * (latest - earliest));
};
