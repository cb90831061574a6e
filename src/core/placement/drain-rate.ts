/**
 * How fast a queue drains: the cost of the requests that were started from it, over the time
 * in which requests waited in it, and when a request behind some cost gets its turn.
 *
 * A queue that gets only what others leave may stand still for the whole of a burst and
 * drain fast after it, so its average rate says little. While it stands still, the overload
 * is taken to go on for a part of the time that it has lasted.
 */

/** Milliseconds of waiting over which the rate is averaged: callers stay for 2 s at least, so a change shows within their patience. */
const AVERAGING_MS = 2000;
/** Milliseconds of waiting from which a rate can be told; in less, one start more or less doubles it. */
const MIN_OBSERVED_MS = 100;
/** Milliseconds without a start after which a queue stands still: half of the least patience of callers. */
const STALLED_MS = 1000;
/** Part of the time that an overload has lasted for which it is taken to go on. With 1, a burst of 2 s made callers be refused just before it ended; see the design page. */
const GOES_ON_SHARE = 0.5;
/** Longest step in milliseconds that counts as waiting: ticks come every 5 ms, and a longer gap is a pause of the process, not of the targets. */
const MAX_STEP_MS = 250;
/** Milliseconds in which nothing waited after which the overload is over; gaps between the requests of one VM are shorter. */
const OVERLOAD_END_MS = 250;
/** Milliseconds without overload after which the rate is not recent any more. */
const FORGET_AFTER_MS = 10_000;

export type DrainState = {
	/** Whether requests wait in this queue. */
	readonly isBacklogged: boolean;
	/** Whether requests wait in it or in one that goes first. */
	readonly isOverloaded: boolean;
};

export type DrainRate = {
	/** Takes in the time since the last call, and what holds from now on. */
	readonly advance: (state: DrainState, nowMs: number) => void;
	/** Takes in the start of a request that had waited. */
	readonly noteStarted: (cost: number) => void;
	/** Cost that is started in a millisecond; undefined before it is known. */
	readonly costPerMs: () => number | undefined;
	/**
	 * Milliseconds until what is `cost` behind the next one gets its turn; undefined while nothing is known.
	 *
	 * @param fallbackPerMs - The rate that is expected when the queue drains again.
	 */
	readonly turnMs: (cost: number, fallbackPerMs?: number) => number | undefined;
};

export const createDrainRate = (): DrainRate => {
	let started = 0;
	let busyMs = 0;
	let stalledMs = 0;
	let known: number | undefined;
	let last = {isBacklogged: false, isOverloaded: false, atMs: 0};
	let calmSinceMs: number | undefined;
	const noteCalm = (nowMs: number): void => {
		calmSinceMs ??= nowMs;
		if (nowMs >= calmSinceMs + OVERLOAD_END_MS) {
			stalledMs = 0;
		}

		if (nowMs >= calmSinceMs + FORGET_AFTER_MS) {
			started = 0;
			busyMs = 0;
			known = undefined;
		}
	};

	return {
		advance(state, nowMs) {
			const stepMs = Math.min(MAX_STEP_MS, nowMs - last.atMs);
			if (last.isBacklogged) {
				// Steps are short against the average, so this is close to exponential decay.
				const decay = 1 - (stepMs / AVERAGING_MS);
				started *= decay;
				busyMs = (busyMs * decay) + stepMs;
			}

			if (last.isOverloaded) {
				stalledMs += stepMs;
				calmSinceMs = undefined;
			}

			if (!state.isOverloaded) {
				noteCalm(nowMs);
			}

			if (started > 0 && busyMs >= MIN_OBSERVED_MS && stalledMs < STALLED_MS) {
				known = started / busyMs;
			}

			last = {...state, atMs: nowMs};
		},
		noteStarted(cost) {
			if (stalledMs >= STALLED_MS) {
				started = 0;
				busyMs = 0;
			}

			started += cost;
			stalledMs = 0;
		},
		costPerMs: () => known,
		turnMs(cost, fallbackPerMs) {
			const isStalled = stalledMs >= STALLED_MS || known === undefined;
			const rate = isStalled ? fallbackPerMs ?? known : known;
			return rate === undefined ? undefined : (isStalled ? stalledMs * GOES_ON_SHARE : 0) + (cost / rate);
		},
	};
};
