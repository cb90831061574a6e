/** Counts events in a sliding window, so that a bound holds in every span of its length. */

export type RateGate = {
	/** Whether fewer than `limit` events were counted in the window that ends now. */
	readonly isOpen: (limit: number, nowMs: number) => boolean;
	readonly count: (nowMs: number) => void;
};

/** A gate without events. */
export const createRateGate = (windowMs: number): RateGate => {
	let times: number[] = [];
	return {
		isOpen(limit, nowMs) {
			times = times.filter(time => time > nowMs - windowMs);
			return times.length < limit;
		},
		count(nowMs) {
			times.push(nowMs);
		},
	};
};
