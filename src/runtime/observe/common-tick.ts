/**
 * One timer for the periodic checks of this process. Each timer of its own would wake the process at another moment, and
 * a wake-up costs more than the checks themselves.
 */

/** Milliseconds between ticks. */
export const TICK_MS = 250;

type Listener = () => void;

const listeners = new Set<Listener>();
let timer: NodeJS.Timeout | undefined;

const tick = (): void => {
	timer = undefined;
	// Armed first: the next tick comes a full period after this one was due, however long the listeners take.
	arm();
	// A listener that is added meanwhile is called from the next tick on.
	for (const listener of [...listeners]) { // eslint-disable-line unicorn/no-useless-spread -- listeners change while they are called
		if (!listeners.has(listener)) {
			continue;
		}

		try {
			listener();
		} catch (error) {
			// Reported as uncaught, after the other listeners were called.
			queueMicrotask(() => {
				throw error;
			});
		}
	}
};

/** Starts the timer if there is a listener and no timer. */
function arm(): void {
	if (timer === undefined && listeners.size > 0) {
		timer = setTimeout(tick, TICK_MS);
	}
}

/** Calls a listener at each tick; returns a function that ends that. The timer runs while there is a listener. */
export const onCommonTick = (listener: Listener): () => void => {
	listeners.add(listener);
	arm();
	return () => {
		listeners.delete(listener);
		if (listeners.size === 0) {
			clearTimeout(timer);
			timer = undefined;
		}
	};
};

/** Calls `act` once, at the last tick that is no later than `ms` milliseconds from now; returns a function that cancels it. */
export const scheduleByTick = (act: () => void, ms: number): () => void => {
	let ticks = Math.max(1, Math.floor(ms / TICK_MS));
	const stop = onCommonTick(() => {
		ticks--;
		if (ticks === 0) {
			stop();
			act();
		}
	});
	return stop;
};
