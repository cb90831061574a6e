/**
 * When refused callers come back. Load pattern: many callers are refused at one moment; told
 * the same delay, they would come back together and be refused again. Each one is told the
 * time at which the queue has drained and has served the refused callers before it.
 */
import {MAX_RETRY_WAIT_SHARE} from '../admission/retry-wait.js';

/** Milliseconds that a caller takes at least to come back: less finds the same queue. */
const MIN_RETRY_AFTER_MS = 100;
/** Part of the delay that is added at random, since several VMs refuse at one moment. */
const JITTER_SHARE = 0.25;
/** Least part of the longest delay that is told where the queue takes longer than that. */
const CAPPED_MIN_SHARE = 0.6;

export type RetryTerms = {
	/** Milliseconds until what waits has been started. */
	readonly drainMs: number;
	/** Milliseconds in which the queue starts one request like this one. */
	readonly perRequestMs: number;
	/** Milliseconds that the caller has left. */
	readonly remainingMs: number;
};

export type RetryDelays = {
	readonly next: (terms: RetryTerms, nowMs: number) => number;
};

/** @param random - Uniform in [0, 1). */
export const createRetryDelays = (random: () => number): RetryDelays => {
	/** Reading of the clock until which capacity is told to callers. */
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
