/** The state of the lease decisions: initial state, changes of pools, and the validity of this VM's leases. */
import {emptyPool} from './lease-follow.js';
import {validUntilMs} from './lease-quorum.js';
import {
	type LeaseEffect, type LeaseState, type LeaseStep, type LeaseTiming, type PoolLeaseState,
} from './types.js';

export const defaultLeaseTiming: LeaseTiming = {
	leaseMs: 3000,
	renewIntervalMs: 1000,
	slotLeaseMs: 2000,
	clockMarginMs: 100,
	rankDelayMs: 2000,
	platformRetryDelayMs: 500,
	platformDownAfterMs: 2000,
	rebalanceAfterMs: 10_000,
	claimTimeoutMs: 3000,
};

/** Returns the state of a VM that has just started. */
export const initialLeaseState = (self: string, startedMs: number, timing: LeaseTiming = defaultLeaseTiming): LeaseState => ({
	self,
	startedMs,
	isLeaving: false,
	members: [],
	pools: {},
	platformDownSinceMs: undefined,
	lastPlatformFailureMs: undefined,
	lastRenewalMs: Number.NEGATIVE_INFINITY,
	timing,
});

/** The next state of one pool, and the effects to carry out. */
export type PoolStep = {readonly pool: PoolLeaseState; readonly effects: readonly LeaseEffect[]};

export const withPool = (state: LeaseState, service: string, pool: PoolLeaseState): LeaseState =>
	({...state, pools: {...state.pools, [service]: pool}});

export const poolOf = (state: LeaseState, service: string): PoolLeaseState => state.pools[service] ?? emptyPool;

/** Applies `change` for one item after the other, each to the pool of that item's service, and collects the effects. */
export const updatePools = <Item>(state: LeaseState, items: readonly Item[], serviceOf: (item: Item) => string, change: (state: LeaseState, item: Item) => PoolStep): LeaseStep => {
	let next = state;
	const effects: LeaseEffect[] = [];
	for (const item of items) {
		const step = change(next, item);
		next = withPool(next, serviceOf(item), step.pool);
		effects.push(...step.effects);
	}

	return {state: next, effects};
};

/** Returns whether this VM holds a valid lease of the pool now. */
export const isValid = ({ownLease}: PoolLeaseState, nowMs: number): boolean => ownLease !== undefined && nowMs < ownLease.validUntilMs;

/** Removes a lease of this VM that has expired, was superseded, or was not confirmed in time. */
export const dropLapsed = (state: LeaseState, pool: PoolLeaseState, nowMs: number): PoolLeaseState => {
	const {ownLease, followed} = pool;
	if (!ownLease) {
		return pool;
	}

	const isSuperseded = followed?.holder !== state.self || followed.epoch !== ownLease.epoch || pool.maxEpoch > ownLease.epoch;
	const isLapsed = ownLease.wasValid ? nowMs >= ownLease.validUntilMs : nowMs - ownLease.claimedMs > state.timing.claimTimeoutMs;
	return isSuperseded || isLapsed ? {...pool, ownLease: undefined} : pool;
};

/** Extends the validity of this VM's lease by the confirmations of its followers. */
export const extendValidity = (state: LeaseState, pool: PoolLeaseState, nowMs: number): PoolLeaseState => {
	if (!pool.ownLease) {
		return pool;
	}

	const untilMs = Math.max(pool.ownLease.validUntilMs, validUntilMs(state, pool, pool.ownLease));
	return {...pool, ownLease: {...pool.ownLease, validUntilMs: untilMs, wasValid: pool.ownLease.wasValid || nowMs < untilMs}};
};
