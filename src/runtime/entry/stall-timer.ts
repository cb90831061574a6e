/** Detects streams that have stalled. */

/** Milliseconds without a byte after which a stream is treated as broken. */
const STALL_MS = 10_000;

export type StallTimer = {
	/** Starts or restarts the timer. */
	readonly touch: () => void;
	readonly stop: () => void;
};

/** Creates a timer that is not running; `onStall` is called `stallMs` after the last `touch`. */
export const createStallTimer = (onStall: () => void, stallMs = STALL_MS): StallTimer => {
	let timer: NodeJS.Timeout | undefined;
	let running = false;
	return {
		touch() {
			if (timer && running) {
				timer.refresh();
				return;
			}

			running = true;
			timer = setTimeout(() => {
				running = false;
				onStall();
			}, stallMs);
		},
		stop() {
			running = false;
			clearTimeout(timer);
		},
	};
};
