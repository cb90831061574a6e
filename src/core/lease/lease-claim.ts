/** The conditions under which a VM claims the lease of a pool without a holder, with or without the platform. */
import {rankByRendezvous} from '../membership/rendezvous.js';
import {isQuarantined, lastConfirmationMs} from './lease-follow.js';
import {countedMembers, halfOf, majorityOf} from './lease-quorum.js';
import {type LeaseMember, type LeaseState, type PoolLeaseState} from './types.js';

/** Returns the VMs that may hold the pool's lease, the preferred one first. */
export const rankCandidates = (state: LeaseState, service: string): readonly string[] =>
	rankByRendezvous(service, state.members.filter(({isCandidate}) => isCandidate).map(({id}) => id));

/** Returns whether, as far as this VM can tell, nobody has a valid lease on the pool. */
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

/** Returns whether enough members receive this VM's heartbeats to confirm its claim together with the lease row. */
export const isHalfReachable = (state: LeaseState, nowMs: number): boolean => {
	const counted = countedMembers(state.members);
	const reached = counted.filter(({id, confirmedMs}) =>
		id === state.self || nowMs - (confirmedMs ?? Number.NEGATIVE_INFINITY) <= state.timing.leaseMs);
	return reached.length >= halfOf(counted.length);
};

/** Returns whether the followed holder is another VM that is no longer a candidate. Its lease row is then read before its lease has expired. */
export const isHolderSuspected = (state: LeaseState, {followed}: PoolLeaseState): boolean =>
	followed !== undefined
	&& followed.holder !== state.self
	&& !state.members.some(({id, isCandidate}) => id === followed.holder && isCandidate);

/** Returns whether the platform may be called: enough time has passed since the last failed call. */
export const mayCallPlatform = (state: LeaseState, nowMs: number): boolean =>
	state.lastPlatformFailureMs === undefined || nowMs - state.lastPlatformFailureMs >= state.timing.platformRetryDelayMs;

/** Returns whether this VM may claim the pool, since the VMs that rank above it have had time to do so. */
export const isClaimDue = (state: LeaseState, service: string, pool: PoolLeaseState, nowMs: number): boolean => {
	const ranked = rankCandidates(state, service);
	const rank = pool.successor === state.self ? 0 : ranked.indexOf(state.self);
	return rank !== -1
		&& pool.vacantSinceMs !== undefined
		&& nowMs - pool.vacantSinceMs >= rank * state.timing.rankDelayMs;
};

/** Returns whether the holder in the lease row can no longer have a valid lease by that row. */
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

/** Returns whether calls to the platform have failed for long enough to claim without it. */
export const isPlatformDown = (state: LeaseState, nowMs: number): boolean =>
	state.platformDownSinceMs !== undefined && nowMs - state.platformDownSinceMs >= state.timing.platformDownAfterMs;

/** Returns the preferred VM if the holder is to hand the pool over to it, so that pools are spread over the VMs. */
export const preferredHolder = (state: LeaseState, service: string, nowMs: number): string | undefined => {
	const [preferred] = rankCandidates(state, service);
	const member = state.members.find(({id}) => id === preferred);
	const aliveMs = nowMs - (member?.aliveSinceMs ?? nowMs);
	return preferred !== state.self && aliveMs >= state.timing.rebalanceAfterMs && state.platformDownSinceMs === undefined
		? preferred
		: undefined;
};

/** Returns whether the member is this VM, or has recently reported without the holder among the VMs whose heartbeats it receives. */
const reportsHolderSilent = (state: LeaseState, member: LeaseMember, holder: string, nowMs: number): boolean =>
	member.id === state.self
	|| (nowMs - (member.confirmedMs ?? Number.NEGATIVE_INFINITY) <= state.timing.leaseMs && !member.hears.includes(holder));

/**
 * Returns whether the pool may be claimed without the platform. The platform has to be down,
 * and a majority must have reported recently that it receives no heartbeats from the holder.
 * This VM's last confirmation of the holder must be so old that the holder's lease and the
 * slots granted last have expired.
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
