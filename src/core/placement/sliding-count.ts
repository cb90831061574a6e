/** Counts events in a sliding window, so that a bound holds in every span of its length. */

export type SlidingCount = {
	readonly add: (nowMs: number) => void;
	/** Events in the window that ends now. */
	readonly size: (nowMs: number) => number;
};

/** A count without events. It holds no more than the events of one window. */
export const createSlidingCount = (windowMs: number): SlidingCount => {
	const times: number[] = [];
	const dropOld = (nowMs: number): void => {
		const kept = times.findIndex(time => time >= nowMs - windowMs);
		times.splice(0, kept === -1 ? times.length : kept);
	};

	return {
		add(nowMs) {
			dropOld(nowMs);
			times.push(nowMs);
		},
		size(nowMs) {
			dropOld(nowMs);
			return times.length;
		},
	};
};
