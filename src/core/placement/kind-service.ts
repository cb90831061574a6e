/**
 * How often requests of each kind are started, of those that asked, here and lately.
 *
 * Load pattern: a long overload in which more urgent requests take all there is. A kind that
 * is served far less than all requests together goes first until it has caught up, so the
 * time for which it is passed over is bounded.
 */
import {createDecayingSums} from './team-use.js';

/** Part of the service of all requests below which a kind goes first. Callers count a kind as starved below a quarter; some of the rest is for errors of a small sample. */
const STARVING_SHARE = 0.35;
/** Requests of a kind, counting less with age, below which its service is not judged. */
const MIN_ASKED = 2;
const ALL = '';

export type KindService = {
	readonly noteAsked: (kind: string, nowMs: number) => void;
	readonly noteStarted: (kind: string, nowMs: number) => void;
	/** Whether a kind is served so much less than all requests that it goes first. */
	readonly isStarving: (kind: string, nowMs: number) => boolean;
};

export const createKindService = (): KindService => {
	const asked = createDecayingSums();
	const started = createDecayingSums();
	const ratio = (kind: string, nowMs: number): number => started.of(kind, nowMs) / Math.max(1, asked.of(kind, nowMs));
	return {
		noteAsked(kind, nowMs) {
			asked.add(ALL, 1, nowMs);
			if (kind !== ALL) {
				asked.add(kind, 1, nowMs);
			}
		},
		noteStarted(kind, nowMs) {
			started.add(ALL, 1, nowMs);
			if (kind !== ALL) {
				started.add(kind, 1, nowMs);
			}
		},
		isStarving: (kind, nowMs) => kind !== ALL && asked.of(kind, nowMs) >= MIN_ASKED
			&& ratio(kind, nowMs) < ratio(ALL, nowMs) * STARVING_SHARE,
	};
};
