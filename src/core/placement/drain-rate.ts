/**
 * Estimates the drain rate of a queue: the cost of the requests that were started from it,
 * divided by the time in which it was backlogged. With this rate and the cost of the requests
 * ahead of a request, the time until its dispatch is predicted.
 *
 * The queue of a lower tier gets only the capacity that the first tier leaves. It may stall for
 * a whole burst and drain fast afterwards, so its average rate is a poor prediction. While a
 * queue is stalled, it is assumed to stay so for half of the time that the stall has lasted.
 */

/** Backlogged milliseconds over which the rate is averaged. Callers wait for at least 2 s, so the average follows a change of the rate before they give up. */
const AVERAGING_MS = 2000;
/** Backlogged milliseconds below which the rate is unknown. Within a shorter time, a single start can double the rate. */
const MIN_BACKLOGGED_MS = 100;
/** Milliseconds without a start after which a queue counts as stalled. This is half of the shortest time for which callers wait. */
const STALLED_AFTER_MS = 1000;
/** Further time for which a queue is assumed to be stalled, as a share of the time that the stall has lasted. With a share of 1, callers would be refused just before the end of a burst of 2 s. */
const EXPECTED_OVERLOAD_SHARE = 0.5;
/** Most milliseconds that are counted between two updates. Ticks come every 5 ms, so a longer gap is a pause of this process, not of the targets. */
const MAX_STEP_MS = 250;
/** Milliseconds without queued requests after which an overload is over. During an overload, the times in which a VM has no queued request are shorter. */
const OVERLOAD_END_MS = 250;
/** Milliseconds after an overload for which the drain rate stays valid. */
const RATE_VALID_MS = 10_000;

export type DrainState = {
	/** Whether this queue holds any request. */
	readonly isBacklogged: boolean;
	/** Whether any tier of the service's queue holds a request. */
	readonly isOverloaded: boolean;
};

export type DrainRate = {
	/** Counts the time since the last call under the state of that call, then stores the new state. */
	readonly update: (state: DrainState, nowMs: number) => void;
	/** Records the cost of a request that is started while requests are queued. */
	readonly noteStarted: (cost: number) => void;
	/** Returns the cost that is started per millisecond; undefined while unknown. */
	readonly costPerMs: () => number | undefined;
	/**
	 * Returns the predicted milliseconds until a request is dispatched; undefined while no rate is known. `cost` is the total cost of the requests ahead of it.
	 *
	 * @param fallbackPerMs - Cost per millisecond at which a queue is assumed to drain after a stall, or while its own rate is unknown.
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
