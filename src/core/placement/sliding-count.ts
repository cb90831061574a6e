/** Counts events in a sliding window, so that a bound holds in every span of its length. */

export type SlidingCount = {
	readonly add: (nowMs: number) => void;
	/** Events in the window that ends now. */
	readonly size: (nowMs: number) => number;
};

/** A count without events. It holds no more than the events of one window. */
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
