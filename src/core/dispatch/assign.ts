/** How a dispatcher hands out slots and approvals while work waits. */
import {type MemberRecord} from './member-record.js';
import {type KeepLimits, type PoolDispatcher} from './pool-dispatcher.js';
import {type PoolTarget} from './pool-target.js';
import {keyWithHighestCount} from './highest-count.js';

/** Ticks of expected ends for which a member gets approvals in advance. */
const LOOKAHEAD_TICKS = 2;
/** Requests by which a team may be ahead of the lowest before slots are moved between members. */
const SLACK_REQUESTS = 1;

/**
 * Gives each free slot to the waiting team with the lowest tag, until either runs out.
 * A slot that was just lent is used once in any case, since lender and borrower may
 * differ for a while in who is behind. After that, a borrowed slot for which the lowest
 * team has no use here stays free and goes back.
 */
export const assignFreeSlots = (pool: PoolDispatcher): void => {
	const demand = new Map(pool.demand());
	const free = new Map([...pool.targets.values()].map(target => [target, pool.freeAt(target)]));
	for (;;) {
		const target = keyWithHighestCount(free);
		if (!target || demand.size === 0) {
			return;
		}

		const choice = chooseForNewLoan(pool, demand, target) ?? chooseNearLowest(pool, demand, candidate => canUse(candidate, target));
		if (choice) {
			approve(pool, choice.member, choice.team);
			choice.member.grant(target.name, 1);
			free.set(target, (free.get(target) ?? 0) - 1);
			decrease(demand, choice.team, 1);
		} else {
			free.delete(target);
		}
	}
};

/**
 * Approves asks ahead of the slots that will end within the next ticks, in the order of
 * tags. Where the next team's members hold no such slot, another member gives one back
 * at its next end, so that it can go there.
 */
export const approveAhead = (pool: PoolDispatcher, keepLimits: KeepLimits, nowMs: number): void => {
	const demand = new Map(pool.demand());
	const leftByMember = new Map([...pool.members.values()].map(member => [member, approvalsLeft(pool, member, nowMs)]));
	let left = [...leftByMember.values()].reduce((sum, count) => sum + Math.max(0, count), 0);
	const reserved = new Map<string, number>();
	while (left > 0) {
		const lowest = pool.shares.lowest(demand.keys());
		if (lowest === undefined) {
			break;
		}

		const choice = chooseNearLowest(pool, demand, candidate => (leftByMember.get(candidate) ?? 0) > 0);
		if (choice) {
			approve(pool, choice.member, choice.team);
			leftByMember.set(choice.member, (leftByMember.get(choice.member) ?? 0) - 1);
		} else {
			reserve(pool, lowest, reserved);
			reclaimOneSlot(keepLimits, leftByMember);
		}

		decrease(demand, choice?.team ?? lowest, 1);
		left--;
	}

	for (const [team, cost] of reserved) {
		pool.shares.addPending(team, -cost);
	}
};

/** Waiting teams, the one furthest behind first. */
const sortByTag = (pool: PoolDispatcher, demand: ReadonlyMap<string, number>): readonly string[] =>
	[...demand.keys()].toSorted((left, right) => pool.shares.tagOf(left) - pool.shares.tagOf(right));

/** Who uses a slot that was just lent: the team it was lent for, or the lowest here. */
const chooseForNewLoan = (pool: PoolDispatcher, demand: ReadonlyMap<string, number>, target: PoolTarget): Choice | undefined => {
	const [lentFor, ...rest] = target.lentFor;
	if (lentFor === undefined) {
		return undefined;
	}

	target.lentFor = rest;
	const teams = sortByTag(pool, demand);
	for (const team of demand.has(lentFor) ? [lentFor, ...teams] : teams) {
		const member = longestWaiting(pool, team, candidate => canUse(candidate, target));
		if (member) {
			return {team, member};
		}
	}

	return undefined;
};

type Choice = {readonly team: string; readonly member: MemberRecord};

/**
 * The waiting team with the lowest tag that an eligible member has asks of, as long as it
 * is little ahead of the lowest of all; members of this data centre go before those that
 * borrow. Moving a slot between members or data centres costs idle time, which a small
 * difference is not worth.
 */
const chooseNearLowest = (pool: PoolDispatcher, demand: ReadonlyMap<string, number>, isEligible: (member: MemberRecord) => boolean): Choice | undefined => {
	const teams = sortByTag(pool, demand);
	const lowestTag = pool.shares.tagOf(teams[0] ?? '');
	return firstWithinSlack(pool, teams, lowestTag, member => !member.isDataCentre && isEligible(member))
		?? firstWithinSlack(pool, teams, lowestTag, isEligible);
};

/** The first of `teams` that an eligible member has asks of, unless it is too far ahead. */
const firstWithinSlack = (pool: PoolDispatcher, teams: readonly string[], lowestTag: number, isEligible: (member: MemberRecord) => boolean): Choice | undefined => {
	for (const team of teams) {
		const member = longestWaiting(pool, team, isEligible);
		if (member) {
			const slack = SLACK_REQUESTS * member.meanCostOf(team) / pool.options.weightOf(team);
			return pool.shares.tagOf(team) <= lowestTag + slack ? {team, member} : undefined;
		}
	}

	return undefined;
};

/** Counts one ask as promised while the order is made up, without approving it. */
const reserve = (pool: PoolDispatcher, team: string, reserved: Map<string, number>): void => {
	let cost = 0;
	for (const member of pool.members.values()) {
		cost = Math.max(cost, member.demandOf(team) > 0 ? member.meanCostOf(team) : 0);
	}

	pool.shares.addPending(team, cost);
	reserved.set(team, (reserved.get(team) ?? 0) + cost);
};

/**
 * Takes one lent slot back while a team waits here that is further behind than every
 * team for which the slots were lent.
 */
export const reclaimLentSlot = (pool: PoolDispatcher, keepLimits: KeepLimits): void => {
	const ownLowest = lowestWaiting(pool, member => !member.isDataCentre);
	if (ownLowest === undefined) {
		return;
	}

	for (const member of pool.members.values()) {
		if (!member.isDataCentre || member.held === 0) {
			continue;
		}

		const borrowerLowest = lowestWaiting(pool, candidate => candidate === member);
		const slack = SLACK_REQUESTS * ownLowest.meanCost / pool.options.weightOf(ownLowest.team);
		if (borrowerLowest === undefined || ownLowest.tag + slack < borrowerLowest.tag) {
			lowerKeepLimit(keepLimits, member);
		}
	}
};

const approve = (pool: PoolDispatcher, member: MemberRecord, team: string): void => {
	const cost = member.meanCostOf(team);
	pool.shares.addPending(team, cost);
	member.approve(team, cost);
};

/** Borrowed slots are not lent on. */
const canUse = (member: MemberRecord, target: PoolTarget): boolean => !(member.isDataCentre && target.loan);

const longestWaiting = (pool: PoolDispatcher, team: string, isEligible: (member: MemberRecord) => boolean): MemberRecord | undefined => {
	let best: MemberRecord | undefined;
	for (const member of pool.members.values()) {
		const isBetter = !best || member.oldestArrivedMsOf(team) < best.oldestArrivedMsOf(team);
		if (isBetter && member.demandOf(team) > 0 && isEligible(member)) {
			best = member;
		}
	}

	return best;
};

/** Approvals a member may still get for slots that are idle or end soon. */
const approvalsLeft = (pool: PoolDispatcher, member: MemberRecord, nowMs: number): number => {
	if (member.isDataCentre || member.held === 0) {
		return 0;
	}

	const aheadMs = LOOKAHEAD_TICKS * pool.options.settings().tickMs;
	const ends = Math.max(1, Math.ceil(member.endRate.perSecond(nowMs) * aheadMs / 1000));
	return Math.min(member.held, ends + member.idle) - member.outstandingApprovals;
};

/** Has the member with the most slots to spare give one back at its next end. */
const reclaimOneSlot = (keepLimits: KeepLimits, leftByMember: Map<MemberRecord, number>): void => {
	const donor = keyWithHighestCount(leftByMember);
	if (donor) {
		lowerKeepLimit(keepLimits, donor);
		leftByMember.set(donor, (leftByMember.get(donor) ?? 0) - 1);
	}
};

const lowerKeepLimit = (keepLimits: KeepLimits, member: MemberRecord): void => {
	const byTarget = keepLimits.get(member);
	const target = keyWithHighestCount(byTarget ?? new Map<string, number>());
	if (target !== undefined) {
		byTarget?.set(target, (byTarget.get(target) ?? 0) - 1);
	}
};

const lowestWaiting = (pool: PoolDispatcher, isCounted: (member: MemberRecord) => boolean) => {
	let lowest: {readonly team: string; readonly tag: number; readonly meanCost: number} | undefined;
	for (const member of pool.members.values()) {
		for (const team of isCounted(member) ? member.teams : []) {
			const tag = pool.shares.tagOf(team);
			if (member.demandOf(team) > 0 && (!lowest || tag < lowest.tag)) {
				lowest = {team, tag, meanCost: member.meanCostOf(team)};
			}
		}
	}

	return lowest;
};

const decrease = (demand: Map<string, number>, team: string, count: number): void => {
	const left = (demand.get(team) ?? 0) - count;
	if (left > 0) {
		demand.set(team, left);
	} else {
		demand.delete(team);
	}
};
