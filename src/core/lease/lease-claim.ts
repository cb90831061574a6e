/** When a VM claims a pool that has no holder, and in which way. */
import {rankByRendezvous} from '../membership/rendezvous.js';
import {isQuarantined, lastConfirmationMs} from './lease-follow.js';
import {countedMembers, halfOf, majorityOf} from './lease-quorum.js';
import {type LeaseMember, type LeaseState, type PoolLeaseState} from './types.js';

/** VMs that may hold the pool, the preferred one first. */
export const rankCandidates = (state: LeaseState, service: string): readonly string[] =>
	rankByRendezvous(service, state.members.filter(({isCandidate}) => isCandidate).map(({id}) => id));

/** No holder is known that could still be valid as far as this VM can tell. */
export const isVacant = (state: LeaseState, pool: PoolLeaseState, nowMs: number): boolean => {
	const {followed} = pool;
	if (!followed || pool.isReleased) {
		return true;
	}

	if (followed.holder === state.self) {
		return !pool.ownLease;
	}

	return nowMs - lastConfirmationMs(state, followed.holder) > state.timing.leaseMs + state.timing.clockMarginMs;
};

/** Enough members hear this VM for a claim with the platform's row to be confirmed. */
export const isHalfReachable = (state: LeaseState, nowMs: number): boolean => {
	const counted = countedMembers(state.members);
	const reached = counted.filter(({id, confirmedMs}) =>
		id === state.self || nowMs - (confirmedMs ?? Number.NEGATIVE_INFINITY) <= state.timing.leaseMs);
	return reached.length >= halfOf(counted.length);
};

/** The holder is not heard any more: its row is worth a look before its lease has lapsed. */
export const isHolderSuspected = (state: LeaseState, {followed}: PoolLeaseState): boolean =>
	followed !== undefined
	&& followed.holder !== state.self
	&& !state.members.some(({id, isCandidate}) => id === followed.holder && isCandidate);

/** The platform may be called: the last failure is a while ago. */
export const mayCallPlatform = (state: LeaseState, nowMs: number): boolean =>
	state.lastPlatformFailureMs === undefined || nowMs - state.lastPlatformFailureMs >= state.timing.platformRetryDelayMs;

/** The VM's turn has come: the better ranked ones have let their time pass. */
export const isClaimDue = (state: LeaseState, service: string, pool: PoolLeaseState, nowMs: number): boolean => {
	const ranked = rankCandidates(state, service);
	const rank = pool.successor === state.self ? 0 : ranked.indexOf(state.self);
	return rank !== -1
		&& pool.vacantSinceMs !== undefined
		&& nowMs - pool.vacantSinceMs >= rank * state.timing.rankDelayMs;
};

/** The row's holder cannot have a valid lease from the platform any more. */
export const isRowLapsed = (state: LeaseState, pool: PoolLeaseState, nowMs: number): boolean => {
	const {row} = pool;
	if (!row) {
		return false;
	}

	const {leaseMs, clockMarginMs} = state.timing;
	return row.revision === 'absent'
		|| row.holder === state.self
		|| (pool.isReleased && row.epoch <= (pool.followed?.epoch ?? 0))
		|| nowMs - row.seenMs > leaseMs + clockMarginMs;
};

export const isPlatformDown = (state: LeaseState, nowMs: number): boolean =>
	state.platformDownSinceMs !== undefined && nowMs - state.platformDownSinceMs >= state.timing.platformDownAfterMs;

/** The VM to which a holder should move the pool, so that pools spread over the VMs. */
export const preferredHolder = (state: LeaseState, service: string, nowMs: number): string | undefined => {
	const [preferred] = rankCandidates(state, service);
	const member = state.members.find(({id}) => id === preferred);
	const aliveMs = nowMs - (member?.aliveSinceMs ?? nowMs);
	return preferred !== state.self && aliveMs >= state.timing.rebalanceAfterMs && state.platformDownSinceMs === undefined
		? preferred
		: undefined;
};

/** The member's latest word is fresh and says that it does not hear the holder. */
const reportsHolderSilent = (state: LeaseState, member: LeaseMember, holder: string, nowMs: number): boolean =>
	member.id === state.self
	|| (nowMs - (member.confirmedMs ?? Number.NEGATIVE_INFINITY) <= state.timing.leaseMs && !member.hears.includes(holder));

/**
 * The claim may do without the platform: it is down, and a majority has not heard the
 * holder for longer than its lease and the slots that it granted last.
 */
export const mayClaimWithoutPlatform = (state: LeaseState, pool: PoolLeaseState, nowMs: number): boolean => {
	if (!isPlatformDown(state, nowMs) || isQuarantined(state, nowMs)) {
		return false;
	}

	const {followed} = pool;
	const {leaseMs, slotLeaseMs, clockMarginMs} = state.timing;
	const isSuccession = followed !== undefined && !pool.isReleased && followed.holder !== state.self;
	if (isSuccession && nowMs - lastConfirmationMs(state, followed.holder) <= leaseMs + slotLeaseMs + clockMarginMs) {
		return false;
	}

	const counted = countedMembers(state.members);
	const agreeing = counted.filter(member => reportsHolderSilent(state, member, isSuccession ? followed.holder : '', nowMs));
	return agreeing.length >= majorityOf(counted.length);
};
