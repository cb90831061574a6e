/** Decisions of a VM about one pool at a tick: to watch the holder, to claim the lease, or to hand it over. */
import {
	preferredHolder, isHolderSuspected, isHalfReachable, isRowLapsed, isClaimDue, isVacant, mayCallPlatform, mayClaimWithoutPlatform, rankCandidates,
} from './lease-claim.js';
import {follow, isQuarantined} from './lease-follow.js';
import {
	dropLapsed, isValid, type PoolStep, extendValidity,
} from './lease-state.js';
import {
	type LeaseEffect, type LeaseState, type LeaseWrite, type OwnLease, type PoolLeaseState, type Tenure,
} from './types.js';

const announce = (service: string, tenure: Tenure): LeaseEffect =>
	({
		kind: 'announce', service, ...tenure, isHandover: false, successor: undefined,
	});

type NewLease = Pick<OwnLease, 'epoch' | 'writtenMs' | 'claimedMs'>;

/** Begins a lease of this VM, which is valid once enough members follow it. */
export const takeLease = (state: LeaseState, service: string, pool: PoolLeaseState, lease: NewLease): PoolStep => {
	const tenure: Tenure = {holder: state.self, epoch: lease.epoch};
	const ownLease: OwnLease = {...lease, validUntilMs: Number.NEGATIVE_INFINITY, wasValid: false};
	return {pool: {...follow(pool, tenure), ownLease}, effects: [announce(service, tenure)]};
};

const nextEpoch = (pool: PoolLeaseState): number => Math.max(pool.maxEpoch, pool.row?.epoch ?? 0) + 1;

/** Claims the pool's lease: without the platform where that is allowed, else by a read and then a write of the lease row. */
const claim = (state: LeaseState, service: string, pool: PoolLeaseState, nowMs: number): PoolStep => {
	if (mayClaimWithoutPlatform(state, pool, nowMs)) {
		return takeLease(state, service, pool, {epoch: nextEpoch(pool), writtenMs: undefined, claimedMs: nowMs});
	}

	if (pool.isRowCallPending || isQuarantined(state, nowMs) || !mayCallPlatform(state, nowMs) || !isHalfReachable(state, nowMs)) {
		return {pool, effects: []};
	}

	const pending = {...pool, isRowCallPending: true};
	if (!pool.row) {
		return {pool: pending, effects: [{kind: 'read', service}]};
	}

	if (!isRowLapsed(state, pool, nowMs)) {
		return {pool, effects: []};
	}

	const write: LeaseWrite = {
		service, holder: state.self, epoch: nextEpoch(pool), expectRevision: pool.row.revision,
	};
	return {pool: pending, effects: [{kind: 'write', rows: [write]}]};
};

/** Releases this VM's lease and names a successor, which may claim it before its expiry. */
export const releaseLease = (state: LeaseState, service: string, pool: PoolLeaseState, successor: string | undefined): PoolStep => {
	if (!pool.ownLease) {
		return {pool, effects: []};
	}

	const tenure: Tenure = {holder: state.self, epoch: pool.ownLease.epoch};
	return {
		pool: {
			...pool, ownLease: undefined, isReleased: true, successor,
		},
		effects: [{
			kind: 'announce', service, ...tenure, isHandover: true, successor,
		}],
	};
};

/**
 * Hands this VM's lease over to the preferred VM, or watches another holder. While that
 * holder is suspected, the first-ranked VM reads the pool's lease row once. The time until
 * the row counts as lapsed begins with this read.
 */
const watchHolder = (state: LeaseState, service: string, pool: PoolLeaseState, nowMs: number): PoolStep => {
	if (pool.ownLease) {
		const successor = isValid(pool, nowMs) ? preferredHolder(state, service, nowMs) : undefined;
		return successor === undefined ? {pool, effects: []} : releaseLease(state, service, pool, successor);
	}

	if (!isHolderSuspected(state, pool)) {
		return {pool: {...pool, row: undefined}, effects: []};
	}

	const isFirst = rankCandidates(state, service)[0] === state.self;
	return isFirst && !pool.row && !pool.isRowCallPending && mayCallPlatform(state, nowMs)
		? {pool: {...pool, isRowCallPending: true}, effects: [{kind: 'read', service}]}
		: {pool, effects: []};
};

/** Makes the decisions for one pool at a tick. */
export const tickPool = (state: LeaseState, service: string, before: PoolLeaseState, nowMs: number): PoolStep => {
	const pool = extendValidity(state, dropLapsed(state, before, nowMs), nowMs);
	if (!isVacant(state, pool, nowMs)) {
		return watchHolder(state, service, {...pool, vacantSinceMs: undefined}, nowMs);
	}

	const vacant = {...pool, vacantSinceMs: isQuarantined(state, nowMs) ? undefined : pool.vacantSinceMs ?? nowMs};
	return !state.isLeaving && isClaimDue(state, service, vacant, nowMs)
		? claim(state, service, vacant, nowMs)
		: {pool: vacant, effects: []};
};
