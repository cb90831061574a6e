/** Calls `run` at intervals until the returned function is called. `intervalMs` is called for each interval. */
export type Every = (intervalMs: () => number, run: () => void) => () => void;

/** Width of the jitter as a share of the interval. Each interval is longer or shorter by up to half of this width. */
const JITTER_SHARE = 0.2;

/**
 * Creates an `Every` on timers, with jitter so that VMs do not act in step.
 *
 * @param random - Returns a random number, uniform in [0, 1).
 */
export const createEvery = (random: () => number): Every => (intervalMs, run) => {
	let timer: NodeJS.Timeout;
	const arm = (): void => {
		timer = setTimeout(() => {
			arm();
			run();
		}, intervalMs() * (1 + (JITTER_SHARE * (random() - 0.5))));
	};

	arm();
	return () => {
		clearTimeout(timer);
	};
};
