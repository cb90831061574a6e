/**
 * Computes the Retry-After delays for refused callers.
 *
 * Load pattern: many callers are refused at one moment. With the same delay, they would retry
 * together and be refused again. So each delay lasts until the queue has drained and the
 * callers that were refused earlier have been served.
 */
import {MAX_RETRY_WAIT_SHARE} from '../admission/retry-wait.js';

/** Shortest delay in milliseconds. An earlier retry would find the same queue. */
const MIN_RETRY_AFTER_MS = 100;
/** Largest random addition to a delay, as a share of the delay. It separates the retries of callers that several VMs refuse at one moment. */
const JITTER_SHARE = 0.25;
/** Where the queue takes too long to drain, a delay between this share of the longest accepted delay and the whole of it is returned. */
const CAPPED_MIN_SHARE = 0.6;

export type RetryTerms = {
	/** Milliseconds until all queued requests have been started. */
	readonly drainMs: number;
	/** Milliseconds that the queue takes to start one request like the refused one. */
	readonly perRequestMs: number;
	/** Milliseconds until the caller's deadline. */
	readonly remainingMs: number;
};

export type RetryDelays = {
	/** Returns the delay in milliseconds for one refused caller. */
	readonly next: (terms: RetryTerms, nowMs: number) => number;
};

/** @param random - Uniform in [0, 1). */
export const createRetryDelays = (random: () => number): RetryDelays => {
	/** Monotonic time until which the expected capacity is allocated to refused callers. */
	let allocatedUntilMs = -Infinity;
	return {
		next({drainMs, perRequestMs, remainingMs}, nowMs) {
			const maxDelayMs = Math.max(0, remainingMs * MAX_RETRY_WAIT_SHARE);
			const availableMs = Math.max(allocatedUntilMs, nowMs + Math.max(drainMs, MIN_RETRY_AFTER_MS)) + perRequestMs;
			const delayMs = (availableMs - nowMs) * (1 + (JITTER_SHARE * random()));
			if (delayMs > maxDelayMs) {
				return maxDelayMs * (CAPPED_MIN_SHARE + ((1 - CAPPED_MIN_SHARE) * random()));
			}

			allocatedUntilMs = availableMs;
			return delayMs;
		},
	};
};
