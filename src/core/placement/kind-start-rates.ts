/**
 * How often requests of each kind are started, of those that asked, here and lately.
 *
 * Load pattern: a long overload in which more urgent requests take all there is. A kind that
 * is served far less than all requests together goes first until it has caught up, so the
 * time for which it is passed over is bounded.
 */
import {createDecayingSums} from './team-use.js';

/** Part of the service of all requests below which a kind goes first. Callers count a kind as starved below a quarter; some of the rest is for errors of a small sample. */
const STARVED_SHARE = 0.35;
/** Requests of a kind, counting less with age, below which its service is not judged. */
const MIN_ARRIVED = 2;
const ALL_KINDS = '';

export type KindStartRates = {
	readonly noteArrival: (kind: string, nowMs: number) => void;
	readonly noteStarted: (kind: string, nowMs: number) => void;
	/** Whether a kind is served so much less than all requests that it goes first. */
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
