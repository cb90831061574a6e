/**
 * How many of the late requests that waited here were started, lately.
 *
 * Load pattern: an overload that goes on, with gaps too short for late requests. Each one that
 * waits is refused in the end, later than at once. While few are started, one at a time waits
 * to find out when that changes.
 */
import {createDecayingSums} from './team-use.js';

/** Part of the late requests that has to be started for others to wait: a late response has at most 0.3 of its value, and a late refusal costs about as much. */
const WORTHWHILE_SHARE = 0.4;
/** Requests, counting less with age, from which the part can be told. */
const MIN_SEEN = 2;

export type LateOdds = {
	readonly noteStarted: (nowMs: number) => void;
	/** A request that had waited left without a target. */
	readonly noteLeft: (nowMs: number) => void;
	readonly isWorthwhile: (nowMs: number) => boolean;
};

export const createLateOdds = (): LateOdds => {
	const seen = createDecayingSums();
	return {
		noteStarted(nowMs) {
			seen.add('started', 1, nowMs);
		},
		noteLeft(nowMs) {
			seen.add('left', 1, nowMs);
		},
		isWorthwhile(nowMs) {
			const started = seen.of('started', nowMs);
			const all = started + seen.of('left', nowMs);
			return all < MIN_SEEN || started >= all * WORTHWHILE_SHARE;
		},
	};
};
