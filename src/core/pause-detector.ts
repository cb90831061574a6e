/**
 * Detects that the process was paused: it did not run, or one iteration of its event loop took
 * long. Leases and other permissions may have expired in the meantime, and timers fire before
 * received data is read, so code that acts on a permission checks for a pause first.
 */

/** Milliseconds between two checks from which the process counts as paused: four intervals of the periodic check. */
export const PAUSE_MS = 1000;

export type PauseDetector = {
	/** Records a reading of the clock; returns true when a pause has ended since the last one. */
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
