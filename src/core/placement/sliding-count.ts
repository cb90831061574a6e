/** Counter of events in a sliding window, so that a limit holds in every span of the window's length. */

export type SlidingCount = {
	readonly add: (nowMs: number) => void;
	/** Returns the number of events in the window that ends now. */
	readonly size: (nowMs: number) => number;
};

/** Creates a counter without events. It stores only the events of one window. */
export const createSlidingCount = (windowMs: number): SlidingCount => {
	const times: number[] = [];
	const evictExpired = (nowMs: number): void => {
		const firstValid = times.findIndex(time => time >= nowMs - windowMs);
		times.splice(0, firstValid === -1 ? times.length : firstValid);
	};

	return {
		add(nowMs) {
			evictExpired(nowMs);
			times.push(nowMs);
		},
		size(nowMs) {
			evictExpired(nowMs);
			return times.length;
		},
	};
};
