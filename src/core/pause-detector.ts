/**
 * Notices that the process did not run for a while: it was stopped, or one turn of its loop took
 * long. What was permitted before may have expired meanwhile, and timers fire before what
 * arrived is read, so each place that acts on a permission looks first.
 */

/** Milliseconds between looks from which the process was paused: four of the looks that a timer makes. */
export const PAUSE_MS = 1000;

export type PauseDetector = {
	/** Takes in a reading of the clock; true when a pause has just ended. */
	readonly hasJustPaused: (nowMs: number) => boolean;
};

export const createPauseDetector = (startMs: number): PauseDetector => {
	let lastMs = startMs;
	return {
		hasJustPaused(nowMs) {
			const hasPaused = nowMs - lastMs >= PAUSE_MS;
			lastMs = Math.max(lastMs, nowMs);
			return hasPaused;
		},
	};
};
