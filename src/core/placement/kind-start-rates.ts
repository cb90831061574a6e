/**
 * Computes the start rate of each kind of request: the share of its recent arrivals at this VM
 * that were started. A kind is the name of the request's route.
 *
 * Load pattern: a long overload in which more urgent requests take all capacity. A kind that is
 * started far less often than all requests together gets precedence until it has caught up,
 * which bounds the time for which it is starved.
 */
import {createDecayingSums} from './decaying-sums.js';

/** Fraction of the start rate of all requests below which a kind gets precedence. Callers count a kind as starved below a quarter of that rate. The margin above a quarter covers the errors of a small sample. */
const STARVED_SHARE = 0.35;
/** Arrivals of a kind, exponentially decayed, below which its start rate is not judged. */
const MIN_ARRIVED = 2;
/** Key of the counts of all requests. Requests without a kind are counted only there. */
const ALL_KINDS = '';

export type KindStartRates = {
	readonly noteArrival: (kind: string, nowMs: number) => void;
	readonly noteStarted: (kind: string, nowMs: number) => void;
	/** Whether a kind is started so much less often than all requests that it gets precedence. */
	readonly isStarved: (kind: string, nowMs: number) => boolean;
};

export const createKindStartRates = (): KindStartRates => {
	const arrived = createDecayingSums();
	const started = createDecayingSums();
	const startRate = (kind: string, nowMs: number): number => started.of(kind, nowMs) / Math.max(1, arrived.of(kind, nowMs));
	return {
		noteArrival(kind, nowMs) {
			arrived.add(ALL_KINDS, 1, nowMs);
			if (kind !== ALL_KINDS) {
				arrived.add(kind, 1, nowMs);
			}
		},
		noteStarted(kind, nowMs) {
			started.add(ALL_KINDS, 1, nowMs);
			if (kind !== ALL_KINDS) {
				started.add(kind, 1, nowMs);
			}
		},
		isStarved: (kind, nowMs) => kind !== ALL_KINDS && arrived.of(kind, nowMs) >= MIN_ARRIVED
			&& startRate(kind, nowMs) < startRate(ALL_KINDS, nowMs) * STARVED_SHARE,
	};
};
