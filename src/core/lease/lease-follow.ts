/**
 * Which VM a member accepts as holder of a pool's lease. A member that follows a holder at
 * an epoch confirms its lease. It follows one holder per epoch, and moves to a higher epoch
 * only when the former holder's lease can no longer rest on this member's confirmation.
 * That is so when the member has received no heartbeat from that holder for the duration of
 * a lease, or when the holder has released the lease or has itself announced a higher epoch.
 */
import {
	type LeaseNoticeMessage, type LeaseState, type PoolLeaseState, type Tenure,
} from './types.js';

/** State of a pool of which nothing is known. */
export const emptyPool: PoolLeaseState = {
	followed: undefined,
	isReleased: false,
	successor: undefined,
	maxEpoch: 0,
	followedByMember: {},
	ownLease: undefined,
	row: undefined,
	isRowCallPending: false,
	vacantSinceMs: undefined,
};

/** Returns the latest time at which this VM, in this or an earlier process, may have confirmed the holder. */
export const lastConfirmationMs = (state: LeaseState, holder: string): number =>
	Math.max(state.startedMs, state.members.find(({id}) => id === holder)?.heardMs ?? state.startedMs);

/** Returns whether the holder's lease can no longer rest on a confirmation by this VM. */
const hasLapsedHere = (state: LeaseState, {holder}: Tenure, nowMs: number): boolean =>
	nowMs - lastConfirmationMs(state, holder) > state.timing.leaseMs;

/** Returns whether this process started so recently that a lease may rest on a confirmation by the process before it. */
export const isQuarantined = (state: LeaseState, nowMs: number): boolean =>
	nowMs - state.startedMs <= state.timing.leaseMs;

/** Returns whether this VM may start to follow a tenure. */
export const mayFollow = (state: LeaseState, pool: PoolLeaseState, tenure: Tenure, nowMs: number): boolean => {
	const {followed} = pool;
	if (isQuarantined(state, nowMs)) {
		return false;
	}

	if (!followed) {
		return true;
	}

	if (tenure.epoch <= followed.epoch) {
		return false;
	}

	return followed.holder === tenure.holder
		|| pool.isReleased
		|| (followed.holder === state.self ? !pool.ownLease : hasLapsedHere(state, followed, nowMs));
};

/** Returns the state of a pool in which this VM follows the tenure. */
export const follow = (pool: PoolLeaseState, tenure: Tenure): PoolLeaseState => ({
	...pool,
	followed: {holder: tenure.holder, epoch: tenure.epoch},
	isReleased: false,
	successor: undefined,
	maxEpoch: Math.max(pool.maxEpoch, tenure.epoch),
	vacantSinceMs: undefined,
});

/** Returns whether the notice releases the followed tenure: a handover, or the holder's own notice that names another VM at a higher epoch. */
const isRelease = (pool: PoolLeaseState, notice: LeaseNoticeMessage): boolean =>
	pool.followed?.holder === notice.from
	&& ((notice.isHandover && notice.epoch === pool.followed.epoch)
		|| (notice.holder !== notice.from && notice.epoch > pool.followed.epoch));

/** Records a notice: the claim or handover of a holder, or which tenure another member follows. */
export const recordNotice = (state: LeaseState, pool: PoolLeaseState, notice: LeaseNoticeMessage, nowMs: number): PoolLeaseState => {
	const tenure: Tenure = {holder: notice.holder, epoch: notice.epoch};
	const released = isRelease(pool, notice)
		? {...pool, isReleased: true, successor: notice.isHandover ? notice.successor : pool.successor}
		: pool;
	const isClaim = notice.from === notice.holder && !notice.isHandover;
	const followed = isClaim && mayFollow(state, released, tenure, nowMs) ? follow(released, tenure) : released;
	return {
		...followed,
		maxEpoch: Math.max(followed.maxEpoch, notice.epoch),
		followedByMember: {...followed.followedByMember, [notice.from]: {...tenure, confirmedMs: notice.confirmedMs}},
	};
};
