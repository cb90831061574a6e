/** Detects streams that have stalled. */
import {monotonicClock} from '../monotonic-clock.js';

/** Milliseconds without a byte after which a stream is treated as broken. */
const STALL_MS = 10_000;

export type StallTimer = {
	/** Starts or restarts the timer. */
	readonly touch: () => void;
	readonly stop: () => void;
};

/**
 * Creates a timer that is not running; `onStall` is called `stallMs` after the last `touch`. A
 * `touch` only records the time, since it happens at each event of a stream; the timer that is
 * already set checks that time when it fires, and is set again for the rest.
 */
export const createStallTimer = (onStall: () => void, stallMs = STALL_MS): StallTimer => {
	let timer: NodeJS.Timeout | undefined;
	let touchedMs = 0;

	const arm = (forMs: number): void => {
		timer = setTimeout(check, forMs);
	};

	function check(): void {
		const remainingMs = touchedMs + stallMs - monotonicClock.nowMs();
		if (remainingMs > 0) {
			arm(remainingMs);
			return;
		}

		timer = undefined;
		onStall();
	}

	return {
		touch() {
			touchedMs = monotonicClock.nowMs();
			if (timer === undefined) {
				arm(stallMs);
			}
		},
		stop() {
			clearTimeout(timer);
			timer = undefined;
		},
	};
};
