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
const MIN_BACKLOGGED_MS = 100;
/** Milliseconds without a start after which a queue stands still: half of the least patience of callers. */
const STALLED_AFTER_MS = 1000;
/** Part of the time that an overload has lasted for which it is taken to go on. With 1, a burst of 2 s made callers be refused just before it ended; see the design page. */
const EXPECTED_OVERLOAD_SHARE = 0.5;
/** Longest step in milliseconds that counts as waiting: ticks come every 5 ms, and a longer gap is a pause of the process, not of the targets. */
const MAX_STEP_MS = 250;
/** Milliseconds in which nothing waited after which the overload is over; gaps between the requests of one VM are shorter. */
const OVERLOAD_END_MS = 250;
/** Milliseconds without overload after which the rate is not recent any more. */
const RATE_VALID_MS = 10_000;

export type DrainState = {
	/** Whether requests wait in this queue. */
	readonly isBacklogged: boolean;
	/** Whether requests wait in it or in one that goes first. */
	readonly isOverloaded: boolean;
};

export type DrainRate = {
	/** Takes in the time since the last call, and what holds from now on. */
	readonly update: (state: DrainState, nowMs: number) => void;
	/** Takes in the start of a request that had waited. */
	readonly noteStarted: (cost: number) => void;
	/** Cost that is started in a millisecond; undefined before it is known. */
	readonly costPerMs: () => number | undefined;
	/**
	 * Milliseconds until what is `cost` behind the next one gets its turn; undefined while nothing is known.
	 *
	 * @param fallbackPerMs - The rate that is expected when the queue drains again.
	 */
	readonly timeToDispatchMs: (cost: number, fallbackPerMs?: number) => number | undefined;
};

export const createDrainRate = (): DrainRate => {
	let startedCost = 0;
	let backloggedMs = 0;
	let stalledMs = 0;
	let knownCostPerMs: number | undefined;
	let lastState = {isBacklogged: false, isOverloaded: false, atMs: 0};
	let overloadEndedMs: number | undefined;
	const noteNoOverload = (nowMs: number): void => {
		overloadEndedMs ??= nowMs;
		if (nowMs >= overloadEndedMs + OVERLOAD_END_MS) {
			stalledMs = 0;
		}

		if (nowMs >= overloadEndedMs + RATE_VALID_MS) {
			startedCost = 0;
			backloggedMs = 0;
			knownCostPerMs = undefined;
		}
	};

	return {
		update(state, nowMs) {
			const stepMs = Math.min(MAX_STEP_MS, nowMs - lastState.atMs);
			if (lastState.isBacklogged) {
				// Steps are short against the average, so this is close to exponential decay.
				const decay = 1 - (stepMs / AVERAGING_MS);
				startedCost *= decay;
				backloggedMs = (backloggedMs * decay) + stepMs;
			}

			if (lastState.isOverloaded) {
				stalledMs += stepMs;
				overloadEndedMs = undefined;
			}

			if (!state.isOverloaded) {
				noteNoOverload(nowMs);
			}

			if (startedCost > 0 && backloggedMs >= MIN_BACKLOGGED_MS && stalledMs < STALLED_AFTER_MS) {
				knownCostPerMs = startedCost / backloggedMs;
			}

			lastState = {...state, atMs: nowMs};
		},
		noteStarted(cost) {
			if (stalledMs >= STALLED_AFTER_MS) {
				startedCost = 0;
				backloggedMs = 0;
			}

			startedCost += cost;
			stalledMs = 0;
		},
		costPerMs: () => knownCostPerMs,
		timeToDispatchMs(cost, fallbackPerMs) {
			const isStalled = stalledMs >= STALLED_AFTER_MS || knownCostPerMs === undefined;
			const rate = isStalled ? fallbackPerMs ?? knownCostPerMs : knownCostPerMs;
			return rate === undefined ? undefined : (isStalled ? stalledMs * EXPECTED_OVERLOAD_SHARE : 0) + (cost / rate);
		},
	};
};
