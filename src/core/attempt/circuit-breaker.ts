/**
 * Whether calls to the platform are worth waiting for. After failures in a row, further
 * calls are refused at once until it is time to try again.
 */

/** Failures in a row after which the platform counts as down. */
const MAX_FAILURES = 2;
/** Milliseconds between tries while it is down. */
const RETRY_INTERVAL_MS = 1000;

export type CircuitBreaker = {
	readonly failures: number;
	/** Monotonic milliseconds until which calls are refused. */
	readonly untilMs: number;
};

export const closedCircuit: CircuitBreaker = {failures: 0, untilMs: -Infinity};

/** Counts one failed call. */
export const recordFailure = ({failures, untilMs}: CircuitBreaker, nowMs: number): CircuitBreaker => ({
	failures: failures + 1,
	untilMs: failures + 1 >= MAX_FAILURES ? nowMs + RETRY_INTERVAL_MS : untilMs,
});

/** Milliseconds until the next try, or 0 when one is due. */
export const openCircuitRemainingMs = ({untilMs}: CircuitBreaker, nowMs: number): number => Math.max(0, untilMs - nowMs);
