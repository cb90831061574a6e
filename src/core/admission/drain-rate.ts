/** Measures how fast a queue drains, to compute the retry delay of a refused caller. */

/** Time constant of the exponential average of the rate, in milliseconds. */
const AVERAGING_MS = 5000;
const MIN_RETRY_AFTER_MS = 200;
const MAX_RETRY_AFTER_MS = 60_000;
/** Retry delay before the first request has left the queue. */
const UNKNOWN_RETRY_AFTER_MS = 1000;

/** Exponentially decayed count of the requests that left a queue. */
export type DrainRate = {
	readonly departures: number;
	readonly updatedMs: number;
};

const decayed = (rate: DrainRate, nowMs: number): number =>
	rate.departures * Math.exp((rate.updatedMs - nowMs) / AVERAGING_MS);

/** Counts one request that leaves the queue now. */
export const countDeparture = (rate: DrainRate | undefined, nowMs: number): DrainRate => ({
	departures: (rate ? decayed(rate, nowMs) : 0) + 1,
	updatedMs: nowMs,
});

/** Returns the milliseconds after which `waiting` requests will have left the queue, within bounds. */
export const retryAfterMs = (rate: DrainRate | undefined, waiting: number, nowMs: number): number => {
	if (!rate) {
		return UNKNOWN_RETRY_AFTER_MS;
	}

	const perMs = decayed(rate, nowMs) / AVERAGING_MS;
	return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waiting / perMs));
};
