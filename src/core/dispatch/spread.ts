/** How a dispatcher places slots while no work waits, and which slots members may keep. */
import {type MemberRecord} from './member-record.js';
import {type KeepLimits, type PoolDispatcher} from './pool-dispatcher.js';
import {type PoolTarget} from './pool-target.js';
import {keyWithHighestCount} from './highest-count.js';

/** Part of the idle slots that stays with the dispatcher, for asks that come in anywhere. */
const RESERVE_SHARE = 0.25;
/** Ends a second that every member is assumed to have, so that none is left without slots. */
const BASE_RATE_PER_S = 0.5;
/** A member gives idle slots back when it has more than this many times its share. */
const EXCESS_FACTOR = 2;

/** Members keep what they hold, less what exceeds the targets' limits. */
export const initialKeepLimits = (pool: PoolDispatcher): KeepLimits => {
	const keepLimits: KeepLimits = new Map();
	for (const member of pool.members.values()) {
		keepLimits.set(member, new Map([...member.targets].map(target => [target, member.heldAt(target)])));
	}

	for (const target of pool.targets.values()) {
		reduceToLimit(keepLimits, target, -pool.freeAt(target));
	}

	return keepLimits;
};

/** Places idle slots at members by their recent rate, so that asks start without a message. */
export const spreadIdleSlots = (pool: PoolDispatcher, keepLimits: KeepLimits, nowMs: number): void => {
	const members = [...pool.members.values()].filter(member => !member.isDataCentre && !member.isLeaving);
	const free = new Map([...pool.targets.values()].filter(target => !target.loan).map(target => [target, Math.max(0, pool.freeAt(target))]));
	const unheld = [...free.values()].reduce((sum, count) => sum + count, 0);
	const idle = unheld + members.reduce((sum, member) => sum + member.idle, 0);
	const distributable = idle - Math.ceil(idle * RESERVE_SHARE);
	const rates = new Map(members.map(member => [member, member.endRate.perSecond(nowMs) + BASE_RATE_PER_S]));
	const totalRate = [...rates.values()].reduce((sum, rate) => sum + rate, 0);
	for (const [member, rate] of rates) {
		const share = Math.floor(distributable * rate / totalRate);
		grantUpTo(member, share - member.idle, free, keepLimits);
		reclaimExcess(member, member.idle - Math.max(1, share * EXCESS_FACTOR), keepLimits);
	}

	returnIdleLoans(pool, keepLimits);
};

/** Asks for idle slots of members to come back, one for each waiting ask. */
export const reclaimIdleSlots = (pool: PoolDispatcher, keepLimits: KeepLimits): void => {
	let wanted = 0;
	for (const count of pool.demand().values()) {
		wanted += count;
	}

	for (const [member, byTarget] of keepLimits) {
		for (const [target, keep] of byTarget) {
			const given = Math.min(wanted, Math.max(0, keep - member.runningAt(target)));
			byTarget.set(target, keep - given);
			wanted -= given;
		}
	}
};

const reduceToLimit = (keepLimits: KeepLimits, target: PoolTarget, excess: number): void => {
	for (let left = excess; left > 0; left--) {
		let donor: Map<string, number> | undefined;
		for (const byTarget of keepLimits.values()) {
			if ((byTarget.get(target.name) ?? 0) > (donor?.get(target.name) ?? 0)) {
				donor = byTarget;
			}
		}

		if (!donor) {
			return;
		}

		donor.set(target.name, (donor.get(target.name) ?? 0) - 1);
	}
};

const grantUpTo = (member: MemberRecord, count: number, free: Map<PoolTarget, number>, keepLimits: KeepLimits): void => {
	for (let left = count; left > 0; left--) {
		const target = keyWithHighestCount(free);
		if (!target) {
			return;
		}

		member.grant(target.name, 1);
		keepLimits.get(member)?.set(target.name, member.heldAt(target.name));
		free.set(target, (free.get(target) ?? 0) - 1);
	}
};

const reclaimExcess = (member: MemberRecord, count: number, keepLimits: KeepLimits): void => {
	const byTarget = keepLimits.get(member);
	let left = Math.floor(count);
	for (const [target, keep] of byTarget ?? []) {
		const given = Math.min(left, Math.max(0, keep - member.runningAt(target)));
		if (given > 0) {
			byTarget?.set(target, keep - given);
			left -= given;
		}
	}
};

/** Idle slots of other data centres go home when nobody waits here. */
const returnIdleLoans = (pool: PoolDispatcher, keepLimits: KeepLimits): void => {
	for (const [member, byTarget] of keepLimits) {
		for (const [name, keep] of byTarget) {
			if (pool.targets.get(name)?.loan) {
				byTarget.set(name, Math.min(keep, member.runningAt(name)));
			}
		}
	}
};
