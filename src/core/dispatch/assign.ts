/** Assignment of slots and approvals to members while requests wait. */
import {type MemberRecord} from './member-record.js';
import {type KeepLimits, type PoolDispatcher} from './pool-dispatcher.js';
import {type PoolTarget} from './pool-target.js';
import {keyWithHighestCount} from './highest-count.js';

/** Ticks to look ahead: a member receives approvals in advance for the slots whose requests are expected to end within this time. */
const LOOKAHEAD_TICKS = 2;
/** Slack in requests: a team is still chosen when its tag exceeds the lowest one by no more than the cost of this many requests. */
const SLACK_REQUESTS = 1;

/**
 * Grants each free slot for the waiting team with the lowest tag, until slots or waiting
 * requests run out. A newly borrowed slot is used once in any case, since lender and
 * borrower may disagree for a while on which team has the lowest tag. After that, a
 * borrowed slot that no team with a tag near the lowest can use stays free and is released.
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
 * Approves requests, in the order of tags, for the slots that are expected to become free
 * within the next ticks. Where no member with requests of the next team holds such a slot,
 * another member's keep limit is lowered. That member releases a slot as soon as one is
 * idle, and the slot can then be granted to a member with requests of the team.
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

/** Returns the waiting teams, the one with the lowest tag first. */
const sortByTag = (pool: PoolDispatcher, demand: ReadonlyMap<string, number>): readonly string[] =>
	[...demand.keys()].toSorted((left, right) => pool.shares.tagOf(left) - pool.shares.tagOf(right));

/** Chooses the team and the member that use a newly borrowed slot: the team for which it was lent, or else the waiting team with the lowest tag. */
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
 * Chooses the waiting team with the lowest tag that has requests at an eligible member, if
 * its tag exceeds the lowest of all by no more than the slack. Members of this data centre
 * have precedence over borrowing data centres. The slack exists because a slot is idle
 * while it moves between members or data centres.
 */
const chooseNearLowest = (pool: PoolDispatcher, demand: ReadonlyMap<string, number>, isEligible: (member: MemberRecord) => boolean): Choice | undefined => {
	const teams = sortByTag(pool, demand);
	const lowestTag = pool.shares.tagOf(teams[0] ?? '');
	return firstWithinSlack(pool, teams, lowestTag, member => !member.isDataCentre && isEligible(member))
		?? firstWithinSlack(pool, teams, lowestTag, isEligible);
};

/** Returns the first of `teams` that has requests at an eligible member, or undefined if its tag is beyond the slack. */
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

/** Adds the cost of one request to the team's pending cost until `approveAhead` ends, without approving the request. */
const reserve = (pool: PoolDispatcher, team: string, reserved: Map<string, number>): void => {
	let cost = 0;
	for (const member of pool.members.values()) {
		cost = Math.max(cost, member.demandOf(team) > 0 ? member.meanCostOf(team) : 0);
	}

	pool.shares.addPending(team, cost);
	reserved.set(team, (reserved.get(team) ?? 0) + cost);
};

/**
 * Reclaims lent slots while a team waits in this data centre. A borrower has to release one
 * slot when no team waits there, or when the lowest tag there exceeds the lowest tag of this
 * data centre by more than the slack.
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

/** Returns whether the member may use the target: borrowed slots are not lent to a third data centre. */
const canUse = (member: MemberRecord, target: PoolTarget): boolean => !(member.isDataCentre && target.loan);

/** Returns the eligible member at which a request of the team without an approval has waited longest. */
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

/** Returns the number of approvals that a member may still get for slots that are idle or soon will be. */
const approvalsLeft = (pool: PoolDispatcher, member: MemberRecord, nowMs: number): number => {
	if (member.isDataCentre || member.held === 0) {
		return 0;
	}

	const aheadMs = LOOKAHEAD_TICKS * pool.options.settings().tickMs;
	const ends = Math.max(1, Math.ceil(member.endRate.perSecond(nowMs) * aheadMs / 1000));
	return Math.min(member.held, ends + member.idle) - member.outstandingApprovals;
};

/** Lowers the keep limit of the member with the most approvals left, so that the member releases a slot as soon as one is idle. */
const reclaimOneSlot = (keepLimits: KeepLimits, leftByMember: Map<MemberRecord, number>): void => {
	const donor = keyWithHighestCount(leftByMember);
	if (donor) {
		lowerKeepLimit(keepLimits, donor);
		leftByMember.set(donor, (leftByMember.get(donor) ?? 0) - 1);
	}
};

/** Lowers the member's keep limit by one at the target where this limit is highest. */
const lowerKeepLimit = (keepLimits: KeepLimits, member: MemberRecord): void => {
	const byTarget = keepLimits.get(member);
	const target = keyWithHighestCount(byTarget ?? new Map<string, number>());
	if (target !== undefined) {
		byTarget?.set(target, (byTarget.get(target) ?? 0) - 1);
	}
};

/** Returns the team with the lowest tag that has requests without an approval at one of the counted members. */
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
