/**
 * Tracks how fast a target works now, by the figures in its responses.
 *
 * Load pattern: machines that are up to 2.5 times slower for fractions of a second. Requests
 * are kept away from a slow target for as long as its last figure is fresh. A target that
 * seems faster than typical is not preferred, since all VMs would send to it until they receive
 * another figure.
 */

/** Bounds of a figure, in percent of the typical time; a figure beyond them is ignored as an error. */
const MIN_PERCENT = 10;
const MAX_PERCENT = 1000;
/** Largest slowdown that counts: targets that fail are up to 8 times slower, and are detected by other means. */
const MAX_SLOWDOWN = 4;
/** Time constant in milliseconds with which a figure decays. Speeds change many times per second; the more time lies between two figures, the more weight the new one has. */
const DECAY_MS = 200;

export class TargetSpeed {
	#slowdown = 1;
	#atMs = -Infinity;

	/** Records the time that work takes, in percent of the typical time. Figures that are absent, out of bounds or older than the last one are ignored. */
	note(percent: number | undefined, atMs: number): void {
		if (percent === undefined || !(percent >= MIN_PERCENT && percent <= MAX_PERCENT) || atMs < this.#atMs) {
			return;
		}

		const current = Math.min(MAX_SLOWDOWN, Math.max(1, percent / 100));
		// A figure of the same moment as the last one has half of the weight.
		const previous = this.slowdown(atMs);
		const weight = Math.max(0.5, 1 - Math.exp((this.#atMs - atMs) / DECAY_MS));
		this.#slowdown = previous + ((current - previous) * weight);
		this.#atMs = atMs;
	}

	/** Returns the time that work takes, as a multiple of the typical time; it decays to 1 as the last figure ages. */
	slowdown(nowMs: number): number {
		return 1 + ((this.#slowdown - 1) * Math.exp(Math.min(0, this.#atMs - nowMs) / DECAY_MS));
	}
}

/** Returns the milliseconds that work takes at a slow target; `ms` is its time at typical speed. The slowdown is applied only to the first `DECAY_MS` of the work, since the last speed figure does not predict the target's later speed. */
export const slowedMs = (ms: number, slowdown: number): number => ms + (Math.min(ms, DECAY_MS) * (slowdown - 1));
