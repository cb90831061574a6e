/**
 * Computes which share of this VM's queued late requests was started recently.
 *
 * Load pattern: a lasting overload whose gaps are too short to start late requests. A late
 * request that is queued is refused in the end, and an immediate refusal would have been better
 * for its caller. While few late requests are started, only one at a time is queued. Its outcome
 * shows when late requests can be started again.
 */
import {createDecayingSums} from './decaying-sums.js';

/** Share of the late requests that must be started for more to be queued. A late response has at most 0.3 of the value of one in time, and a late refusal costs about as much. */
const MIN_STARTED_SHARE = 0.4;
/** Started and rejected requests, exponentially decayed, below which the share is not judged. */
const MIN_OUTCOMES = 2;

export type LateStartRate = {
	readonly noteStarted: (nowMs: number) => void;
	/** Records that a queued request was rejected. */
	readonly noteRejected: (nowMs: number) => void;
	/** Whether enough late requests are started that more of them should be queued. */
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
