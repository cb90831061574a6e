/**
 * Circuit breaker for calls to the platform, the external service that stores tables. After
 * consecutive failures, further calls fail at once until the next attempt is due.
 */

/** Consecutive failures after which the platform counts as down. */
const MAX_FAILURES = 2;
/** Milliseconds between attempts while the platform is down. */
const RETRY_INTERVAL_MS = 1000;

export type CircuitBreaker = {
	/** Consecutive failed calls. */
	readonly failures: number;
	/** Monotonic time in milliseconds until which calls fail at once. */
	readonly untilMs: number;
};

export const closedCircuit: CircuitBreaker = {failures: 0, untilMs: -Infinity};

/** Records one failed call. */
export const recordFailure = ({failures, untilMs}: CircuitBreaker, nowMs: number): CircuitBreaker => ({
	failures: failures + 1,
	untilMs: failures + 1 >= MAX_FAILURES ? nowMs + RETRY_INTERVAL_MS : untilMs,
});

/** Returns the milliseconds until the next attempt, or 0 when one is due. */
export const openCircuitRemainingMs = ({untilMs}: CircuitBreaker, nowMs: number): number => Math.max(0, untilMs - nowMs);
