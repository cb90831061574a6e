/**
 * Whom a VM accepts as holder. A VM follows one holder of an epoch only, and moves to a
 * higher epoch only when the former holder cannot count on it any more: it has not heard
 * that holder for a whole lease, or the holder gave up or was superseded by its own word.
 */
import {
	type LeaseNoticeMessage, type LeaseState, type PoolLeaseState, type Tenure,
} from './types.js';

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

/** When this VM, in this or an earlier process, may last have confirmed the holder. */
export const lastConfirmationMs = (state: LeaseState, holder: string): number =>
	Math.max(state.startedMs, state.members.find(({id}) => id === holder)?.heardMs ?? state.startedMs);

/** The holder's lease cannot rest on a confirmation by this VM any more. */
const hasLapsedHere = (state: LeaseState, {holder}: Tenure, nowMs: number): boolean =>
	nowMs - lastConfirmationMs(state, holder) > state.timing.leaseMs;

/** A process that has just started does not know what its predecessor confirmed. */
export const isQuarantined = (state: LeaseState, nowMs: number): boolean =>
	nowMs - state.startedMs <= state.timing.leaseMs;

/** Tells whether this VM may follow a tenure from now on. */
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

/** Follows a tenure. */
export const follow = (pool: PoolLeaseState, tenure: Tenure): PoolLeaseState => ({
	...pool,
	followed: {holder: tenure.holder, epoch: tenure.epoch},
	isReleased: false,
	successor: undefined,
	maxEpoch: Math.max(pool.maxEpoch, tenure.epoch),
	vacantSinceMs: undefined,
});

const isRelease = (pool: PoolLeaseState, notice: LeaseNoticeMessage): boolean =>
	pool.followed?.holder === notice.from
	&& ((notice.isHandover && notice.epoch === pool.followed.epoch)
		|| (notice.holder !== notice.from && notice.epoch > pool.followed.epoch));

/** Takes in a notice: the claim of a holder, or whom another member follows. */
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
