/**
 * When refused callers come back. Load pattern: many callers are refused at one moment; told
 * the same delay, they would come back together and be refused again. Each one is told the
 * time at which the queue has drained and has served the refused callers before it.
 */
import {MAX_RETRY_WAIT_SHARE} from '../admission/retry-wait.js';

/** Milliseconds that a caller takes at least to come back: less finds the same queue. */
const MIN_RETRY_AFTER_MS = 100;
/** Part of the delay that is added at random, since several VMs refuse at one moment. */
const SPREAD = 0.25;
/** Least part of the longest delay that is told where the queue takes longer than that. */
const CAPPED_SHARE = 0.6;

export type RetryTerms = {
	/** Milliseconds until what waits has been started. */
	readonly drainMs: number;
	/** Milliseconds in which the queue starts one request like this one. */
	readonly ownMs: number;
	/** Milliseconds that the caller has left. */
	readonly remainingMs: number;
};

export type RetryDelays = {
	readonly next: (terms: RetryTerms, nowMs: number) => number;
};

/** @param random - Uniform in [0, 1). */
export const createRetryDelays = (random: () => number): RetryDelays => {
	/** Reading of the clock until which capacity is told to callers. */
	let toldUntilMs = -Infinity;
	return {
		next({drainMs, ownMs, remainingMs}, nowMs) {
			const mostMs = Math.max(0, remainingMs * MAX_RETRY_WAIT_SHARE);
			const freeMs = Math.max(toldUntilMs, nowMs + Math.max(drainMs, MIN_RETRY_AFTER_MS)) + ownMs;
			const delayMs = (freeMs - nowMs) * (1 + (SPREAD * random()));
			if (delayMs > mostMs) {
				return mostMs * (CAPPED_SHARE + ((1 - CAPPED_SHARE) * random()));
			}

			toldUntilMs = freeMs;
			return delayMs;
		},
	};
};
