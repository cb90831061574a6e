/**
 * Decides which requests a VM refuses because it is behind its work. Callers are spread by
 * a hash of their address, so one VM may get far more than its part while others are idle;
 * a refusal that comes at once lets the caller go to another VM in time.
 *
 * The refused share grows while the VM is behind and falls slowly once it is not. Teams
 * that send less than an even part of what can be taken are not refused.
 */
import {createDecayingSums, type DecayingSums} from '../placement/team-use.js';
import {fairLevel} from '../placement/fair-level.js';

/** Part of the delay at which a VM is behind below which a look is calm. */
const ON_TIME_SHARE = 0.4;
/** Late looks, less what calm ones take off, from which a VM is behind: a stall, however long, is no overload. */
const LATE_CHECKS_TO_OVERLOAD = 5;
/** Late looks that are counted at most, so that a long overload is over as soon as a short one. */
const MAX_LATE_CHECKS = 8;
/** Late looks that a calm one takes off. */
const LATE_CHECKS_CLEARED = 2;
/** Part of what is still taken that is given up at each late look while the VM is behind. */
const GROWTH_SHARE = 0.3;
/** Share by which the refused one falls at each other look, and its factor when the VM is not behind. */
const SHARE_DECREMENT = 0.03;
const RECOVERY_FACTOR = 0.6;
/** A part is always taken, so that the VM notices when the load changes. */
const MAX_REFUSED_SHARE = 0.95;

/** Refused share above which the VM asks for no new callers; below, the refusals alone may do. */
const OVERLOADED_SHARE = 0.15;

export type LoadShedder = {
	/** Takes in by how many milliseconds the last look at the process came late. */
	readonly recordLoopDelay: (delayMs: number) => void;
	/** Counts a request of a team; whether it is taken. */
	readonly admit: (team: string, nowMs: number) => boolean;
	/** Share of requests that is refused now. */
	readonly refusedShare: () => number;
	/** Whether new callers had better go to other VMs. */
	readonly isOverloaded: () => boolean;
};

export type LoadShedOptions = {
	/** Milliseconds by which timers come late above which the VM is behind. */
	readonly behindMs: number;
	/** Uniform in [0, 1). */
	readonly random: () => number;
};

/** A VM that keeps up. */
export const createLoadShedder = ({behindMs, random}: LoadShedOptions): LoadShedder => {
	const offered: DecayingSums = createDecayingSums();
	let share = 0;
	let lateChecks = 0;

	const admittedShare = (team: string, nowMs: number): number => {
		const uses = offered.teams(nowMs).map(name => offered.of(name, nowMs));
		const total = uses.reduce((sum, use) => sum + use, 0);
		return Math.min(1, fairLevel(uses, total * (1 - share)) / offered.of(team, nowMs));
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
