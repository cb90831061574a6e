/**
 * Drain rate of a queue: the cost of the requests that were started from it, divided by the
 * time in which it was backlogged. The rate predicts when a request behind some cost is
 * dispatched.
 *
 * A queue that gets only the capacity that others leave may stall for a whole burst and drain
 * fast after it, so its average rate says little. While it is stalled, the overload is assumed
 * to last for a further share of the time that it has lasted already.
 */

/** Backlogged milliseconds over which the rate is averaged: callers wait for 2 s at least, so a change of the rate shows before they give up. */
const AVERAGING_MS = 2000;
/** Backlogged milliseconds below which the rate is unknown: within a shorter time, a single start can double it. */
const MIN_BACKLOGGED_MS = 100;
/** Milliseconds without a start after which a queue counts as stalled: half of the shortest time for which callers wait. */
const STALLED_AFTER_MS = 1000;
/** Further duration that is assumed of an overload, as a share of the time that it has lasted. A share of 1 would refuse callers just before the end of a burst of 2 s. */
const EXPECTED_OVERLOAD_SHARE = 0.5;
/** Longest step in milliseconds that counts as backlogged time: ticks come every 5 ms, so a longer gap is a pause of this process, not of the targets. */
const MAX_STEP_MS = 250;
/** Milliseconds without queued requests after which an overload is over; gaps between the requests of one VM are shorter. */
const OVERLOAD_END_MS = 250;
/** Milliseconds after an overload for which the drain rate stays valid. */
const RATE_VALID_MS = 10_000;

export type DrainState = {
	/** Whether requests are in this queue. */
	readonly isBacklogged: boolean;
	/** Whether requests are in any tier of the service's queue. */
	readonly isOverloaded: boolean;
};

export type DrainRate = {
	/** Accounts for the time since the last call, in which the previous state held, and sets the state from now on. */
	readonly update: (state: DrainState, nowMs: number) => void;
	/** Records the start of a request while requests are queued. */
	readonly noteStarted: (cost: number) => void;
	/** Returns the cost that is started per millisecond; undefined while unknown. */
	readonly costPerMs: () => number | undefined;
	/**
	 * Returns the milliseconds until a request is dispatched that has requests of the summed `cost` ahead of it; undefined while no rate is known.
	 *
	 * @param fallbackPerMs - Rate that is assumed for a stalled queue once it drains again.
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
				// Steps are short compared with the averaging time, so this approximates exponential decay.
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
