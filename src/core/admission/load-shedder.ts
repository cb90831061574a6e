/**
 * Decides which requests a VM refuses because its event loop lags.
 *
 * Load pattern: the load balancer spreads callers by a hash of their address, so one VM may
 * get far more than its share of the requests while others are idle. A retry reaches the same VM
 * unless that VM has left the rotation; an immediate refusal costs less than a late response.
 *
 * The share of the requests that is refused grows while the event loop lags and then falls gradually.
 * Teams that send less than their max-min fair share of the admitted requests are not refused.
 */
import {createDecayingSums, type DecayingSums} from '../placement/decaying-sums.js';
import {maxMinLevel} from '../placement/fair-level.js';

/** Share of `behindMs` below which the delay of a periodic check counts as on time. */
const ON_TIME_SHARE = 0.4;
/** Late checks, minus those that on-time checks cleared, from which the event loop counts as lagging. A single stall, however long, is not an overload. */
const LATE_CHECKS_TO_OVERLOAD = 5;
/** Bound on the counted late checks, so that recovery from a long overload takes no longer than from a short one. */
const MAX_LATE_CHECKS = 8;
/** Late checks that one on-time check clears. */
const LATE_CHECKS_CLEARED = 2;
/** Share of the admitted requests by which each late check raises the refused share while the event loop lags. */
const GROWTH_SHARE = 0.3;
/**
 * Least amount by which a check that does not raise the refused share lowers it, and the factor
 * by which a check multiplies that share once the event loop no longer lags.
 */
const SHARE_DECREMENT = 0.03;
const RECOVERY_FACTOR = 0.6;
/** Largest refused share: some requests are always admitted, so that the VM notices when the load changes. */
const MAX_REFUSED_SHARE = 0.95;

/** Refused share above which the VM leaves the load balancer's rotation. Below this share, refusals alone may end the overload. */
const OVERLOADED_SHARE = 0.15;

export type LoadShedder = {
	/** Records the milliseconds by which the last periodic check ran late. */
	readonly recordLoopDelay: (delayMs: number) => void;
	/** Counts a request of a team and returns whether it is admitted. */
	readonly admit: (team: string, nowMs: number) => boolean;
	/** Returns the share of requests that is refused now, from 0 to 1. */
	readonly refusedShare: () => number;
	/** Whether the load balancer should send new callers to other VMs. */
	readonly isOverloaded: () => boolean;
};

export type LoadShedderOptions = {
	/** Lateness of timers, in milliseconds, above which the event loop lags; the setting `limits.behind_ms`. */
	readonly behindMs: number;
	/** Returns a number that is uniform in [0, 1). */
	readonly random: () => number;
};

/** Creates a load shedder that refuses nothing yet. */
export const createLoadShedder = ({behindMs, random}: LoadShedderOptions): LoadShedder => {
	const offered: DecayingSums = createDecayingSums();
	let share = 0;
	let lateChecks = 0;

	const admittedShare = (team: string, nowMs: number): number => {
		const uses = offered.keys(nowMs).map(name => offered.of(name, nowMs));
		const total = uses.reduce((sum, use) => sum + use, 0);
		return Math.min(1, maxMinLevel(uses, total * (1 - share)) / offered.of(team, nowMs));
	};

	const nextLateChecks = (delayMs: number): number => {
		if (delayMs > behindMs) {
			return Math.min(MAX_LATE_CHECKS, lateChecks + 1);
		}

		return delayMs < behindMs * ON_TIME_SHARE ? Math.max(0, lateChecks - LATE_CHECKS_CLEARED) : lateChecks;
	};

	return {
		recordLoopDelay(delayMs) {
			const isLate = delayMs > behindMs;
			lateChecks = nextLateChecks(delayMs);
			const isLagging = lateChecks >= LATE_CHECKS_TO_OVERLOAD;
			if (isLagging && isLate) {
				share = Math.min(MAX_REFUSED_SHARE, share + ((1 - share) * GROWTH_SHARE));
				return;
			}

			const reduced = share - SHARE_DECREMENT;
			share = Math.max(0, isLagging ? reduced : Math.min(share * RECOVERY_FACTOR, reduced));
		},
		admit(team, nowMs) {
			offered.add(team, 1, nowMs);
			return share === 0 || random() < admittedShare(team, nowMs);
		},
		refusedShare: () => share,
		isOverloaded: () => share > OVERLOADED_SHARE,
	};
};
