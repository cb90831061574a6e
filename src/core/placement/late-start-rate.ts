/**
 * Share of the late requests queued at this VM that were started recently.
 *
 * Load pattern: a lasting overload, with gaps too short for late requests. Each late request
 * that is queued is refused in the end, when an immediate refusal would have been better. While
 * few of them are started, only one at a time is queued, to detect when that changes.
 */
import {createDecayingSums} from './decaying-sums.js';

/** Share of the late requests that must be started for more to be queued: a late response has at most 0.3 of its value, and a late refusal costs about as much. */
const MIN_STARTED_SHARE = 0.4;
/** Started and rejected requests, exponentially decayed, below which the share is not judged. */
const MIN_OUTCOMES = 2;

export type LateStartRate = {
	readonly noteStarted: (nowMs: number) => void;
	/** Records that a queued request was rejected. */
	readonly noteRejected: (nowMs: number) => void;
	/** Whether enough queued requests are started for more to be queued. */
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
