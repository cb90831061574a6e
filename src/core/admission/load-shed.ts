/**
 * Decides which requests a VM refuses because it is behind its work. Callers are spread by
 * a hash of their address, so one VM may get far more than its part while others are idle;
 * a refusal that comes at once lets the caller go to another VM in time.
 *
 * The refused share grows while the VM is behind and falls slowly once it is not. Teams
 * that send less than an even part of what can be taken are not refused.
 */
import {createTeamUse, type TeamUse} from '../placement/team-use.js';
import {fairLevel} from '../placement/fair-level.js';

/** Busy share of the processor above which a VM may be overloaded, and below which its load is over. */
const HIGH_BUSY = 0.9;
const OVER_BUSY = 0.5;
/** Looks in a row at which a VM must be behind before it refuses: a short stall is no overload. */
const LOOKS_BEFORE = 4;
/** Part of what is still taken that is given up at each look while the VM is behind. */
const GROW_PART = 0.3;
/** Share by which the refused one falls at each look at which it is not. */
const FALL_SHARE = 0.03;
/** Factor by which it falls at each look once the load is over. */
const OVER_FACTOR = 0.6;
/** Weight of the last look in the delay. */
const DELAY_WEIGHT = 0.5;
/** A part is always taken, so that the VM notices when the load changes. */
const MAX_SHARE = 0.95;

/** How a process did since the look before. */
export type ProcessLook = {
	/** Part of the time in which it was busy, from 0 to 1. */
	readonly busyShare: number;
	/** Milliseconds by which the look came late. */
	readonly delayMs: number;
};

/** Refused share above which the VM asks for no new callers; below, the refusals alone may do. */
const OVERLOADED_SHARE = 0.15;

export type LoadShed = {
	/** Takes in a look at the process. */
	readonly noteLook: (look: ProcessLook) => void;
	/** Counts a request of a team; whether it is taken. */
	readonly takes: (team: string, nowMs: number) => boolean;
	/** Share of requests that is refused now. */
	readonly share: () => number;
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
export const createLoadShed = ({behindMs, random}: LoadShedOptions): LoadShed => {
	const offered: TeamUse = createTeamUse();
	let share = 0;
	let delayMs = 0;
	let looksBehind = 0;

	const takenPart = (team: string, nowMs: number): number => {
		const uses = offered.teams(nowMs).map(name => offered.of(name, nowMs));
		const total = uses.reduce((sum, use) => sum + use, 0);
		return Math.min(1, fairLevel(uses, total * (1 - share)) / offered.of(team, nowMs));
	};

	return {
		noteLook({busyShare, delayMs: lastMs}) {
			delayMs += (lastMs - delayMs) * DELAY_WEIGHT;
			const isBehind = busyShare > HIGH_BUSY && delayMs > behindMs;
			looksBehind = isBehind ? looksBehind + 1 : 0;
			if (looksBehind >= LOOKS_BEFORE || (isBehind && share > 0)) {
				share = Math.min(MAX_SHARE, share + ((1 - share) * GROW_PART));
			} else if (!isBehind) {
				const fallen = busyShare < OVER_BUSY ? Math.min(share * OVER_FACTOR, share - FALL_SHARE) : share - FALL_SHARE;
				share = Math.max(0, fallen);
			}
		},
		takes(team, nowMs) {
			offered.add(team, 1, nowMs);
			return share === 0 || random() < takenPart(team, nowMs);
		},
		share: () => share,
		isOverloaded: () => share > OVERLOADED_SHARE,
	};
};
