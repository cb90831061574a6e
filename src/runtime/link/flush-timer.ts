/** One timer for sending the frames to all peers, so that the process wakes once a tick instead of once for each peer. */
import {type Clock} from '../../core/clock.js';

export type FlushTimer = {
	/** Schedules a call of `flush` at the next multiple of the tick, unless a call is scheduled already. */
	readonly arm: () => void;
	readonly stop: () => void;
};

/** Creates a flush timer; it runs only after `arm` has been called. */
export const createFlushTimer = (clock: Clock, tickMs: number, flush: () => void): FlushTimer => {
	let timer: NodeJS.Timeout | undefined;

	return {
		arm() {
			timer ??= setTimeout(() => {
				timer = undefined;
				flush();
			}, tickMs - (clock.nowMs() % tickMs));
		},
		stop() {
			clearTimeout(timer);
			timer = undefined;
		},
	};
};
