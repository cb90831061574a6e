/** Distribution of idle slots while no requests wait, and the keep limits of the members. */
import {type MemberRecord} from './member-record.js';
import {type KeepLimits, type PoolDispatcher} from './pool-dispatcher.js';
import {type PoolTarget} from './pool-target.js';
import {keyWithHighestCount} from './highest-count.js';

/** Share of the idle slots that stays with the dispatcher, for requests that arrive at any member. */
const RESERVE_SHARE = 0.25;
/** Answered requests per second that are added to each member's rate, so that no member is left without slots. */
const BASE_RATE_PER_S = 0.5;
/** A member has to release the idle slots that exceed its share of all idle slots by this factor. */
const EXCESS_FACTOR = 2;

/** Returns keep limits equal to the slots that members hold, lowered where these exceed a target's limit. */
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

/** Grants idle slots to members in proportion to their recent rates, so that requests start without a message to the dispatcher. */
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

/** Lowers keep limits to reclaim idle slots from members, one for each waiting request without an approval. */
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

/** Lowers keep limits at the target by `excess` slots in total, one slot at a time at the member with the highest limit. */
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

/** Grants up to `count` free slots to the member, each at the target that has the most free slots then. */
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

/** Lowers the member's keep limits by up to `count` idle slots. */
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

/** Lowers the keep limits of borrowed slots to the running requests, so that idle ones are released to their lender. */
const returnIdleLoans = (pool: PoolDispatcher, keepLimits: KeepLimits): void => {
	for (const [member, byTarget] of keepLimits) {
		for (const [name, keep] of byTarget) {
			if (pool.targets.get(name)?.loan) {
				byTarget.set(name, Math.min(keep, member.runningAt(name)));
			}
		}
	}
};
