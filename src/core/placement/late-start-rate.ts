/**
 * How many of the late requests that waited here were started, lately.
 *
 * Load pattern: an overload that goes on, with gaps too short for late requests. Each one that
 * waits is refused in the end, later than at once. While few are started, one at a time waits
 * to find out when that changes.
 */
import {createDecayingSums} from './team-use.js';

/** Part of the late requests that has to be started for others to wait: a late response has at most 0.3 of its value, and a late refusal costs about as much. */
const MIN_STARTED_SHARE = 0.4;
/** Requests, counting less with age, from which the part can be told. */
const MIN_OUTCOMES = 2;

export type LateStartRate = {
	readonly noteStarted: (nowMs: number) => void;
	/** A request that had waited left without a target. */
	readonly noteRejected: (nowMs: number) => void;
	readonly isWaitWorthwhile: (nowMs: number) => boolean;
};

export const createLateStartRate = (): LateStartRate => {
	const outcomes = createDecayingSums();
	return {
		noteStarted(nowMs) {
			outcomes.add('started', 1, nowMs);
		},
		noteRejected(nowMs) {
			outcomes.add('left', 1, nowMs);
		},
		isWaitWorthwhile(nowMs) {
			const started = outcomes.of('started', nowMs);
			const all = started + outcomes.of('left', nowMs);
			return all < MIN_OUTCOMES || started >= all * MIN_STARTED_SHARE;
		},
	};
};
