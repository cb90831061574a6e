/**
 * How fast a target works now, going by what its answers say.
 *
 * Load pattern: machines that are up to 2.5 times slower for fractions of a second. Work is
 * kept away from one that is slow now, for as long as the figure tells. One that looks
 * faster than usual is not preferred: all VMs would send there until they hear otherwise.
 */

/** Percent of the usual time beyond which a figure is taken for a fault. */
const MIN_PERCENT = 10;
const MAX_PERCENT = 1000;
/** Largest slowdown that is counted: targets that fail are up to 8 times slower, and found by other means. */
const MAX_SLOWDOWN = 4;
/** Milliseconds for which a figure holds: speeds change many times a second, and a new figure replaces the old one with the weight that their distance gives. */
const HOLDS_MS = 200;

export class TargetSpeed {
	#slowdown = 1;
	#atMs = -Infinity;

	/** Takes in the time that work takes, in percent of the usual. Figures that are absent, absurd or older than the last one change nothing. */
	note(percent: number | undefined, atMs: number): void {
		if (percent === undefined || !(percent >= MIN_PERCENT && percent <= MAX_PERCENT) || atMs < this.#atMs) {
			return;
		}

		const current = Math.min(MAX_SLOWDOWN, Math.max(1, percent / 100));
		// A figure that contradicts one of the same moment counts half.
		const before = this.slowdown(atMs);
		const weight = Math.max(0.5, 1 - Math.exp((this.#atMs - atMs) / HOLDS_MS));
		this.#slowdown = before + ((current - before) * weight);
		this.#atMs = atMs;
	}

	/** Time that work takes, as a multiple of the usual; 1 when nothing fresh is known. */
	slowdown(nowMs: number): number {
		return 1 + ((this.#slowdown - 1) * Math.exp(Math.min(0, this.#atMs - nowMs) / HOLDS_MS));
	}
}

/** Milliseconds that some work takes on a target that is slow now: only its beginning falls into the time for which that is known. */
export const slowedMs = (ms: number, slowdown: number): number => ms + (Math.min(ms, HOLDS_MS) * (slowdown - 1));
