/**
 * The lease decisions of one VM for the pools of its data centre, as a pure function:
 * `stepLease(state, message, nowMs)` returns the next state and the effects to carry out.
 */
import {rankCandidates} from './lease-claim.js';
import {emptyPool, recordNotice} from './lease-follow.js';
import {releaseLease, tickPool} from './lease-pool.js';
import {recordRow, recordWrite, renewLeases} from './lease-rows.js';
import {
	dropLapsed, updatePools, isValid, poolOf, extendValidity, withPool,
} from './lease-state.js';
import {
	type LeaseEffect, type LeaseMessage, type LeaseNoticeMessage, type LeaseRow, type LeaseState, type LeaseStep, type PoolLeaseState,
} from './types.js';

const tick = (state: LeaseState, nowMs: number): LeaseStep => {
	const ticked = updatePools(state, Object.entries(state.pools), ([service]) => service, (next, [service, pool]) =>
		tickPool(next, service, pool, nowMs));
	const renewal = renewLeases(ticked.state, nowMs);
	return {state: renewal.state, effects: [...ticked.effects, ...renewal.effects]};
};

const applyTick = (state: LeaseState, message: Extract<LeaseMessage, {kind: 'tick'}>, nowMs: number): LeaseStep => {
	// A lease that expired before this tick stays expired, even if new confirmations would extend it.
	const lapsed = Object.entries(state.pools).map(([service, pool]) => [service, dropLapsed(state, pool, nowMs)] as const);
	const pools = Object.fromEntries([
		...message.services.map(service => [service, emptyPool] as const),
		...lapsed.filter(([service, pool]) => message.services.includes(service) || pool.ownLease),
	]);
	return tick({...state, members: message.members, pools}, nowMs);
};

const isSameTenure = (a: PoolLeaseState, b: PoolLeaseState): boolean =>
	a.followed?.holder === b.followed?.holder && a.followed?.epoch === b.followed?.epoch;

const applyNotice = (state: LeaseState, notice: LeaseNoticeMessage, nowMs: number): LeaseStep => {
	const {service} = notice;
	const before = dropLapsed(state, poolOf(state, service), nowMs);
	const noted = dropLapsed(state, recordNotice(state, before, notice, nowMs), nowMs);
	const pool = extendValidity(state, noted, nowMs);
	if (pool.isReleased && !before.isReleased) {
		const step = tickPool(state, service, pool, nowMs);
		return {state: withPool(state, service, step.pool), effects: step.effects};
	}

	const effects: readonly LeaseEffect[] = pool.followed && !isSameTenure(before, pool)
		? [{kind: 'confirm', service, ...pool.followed}]
		: [];
	return {state: withPool(state, service, pool), effects};
};

const withPlatformUp = (state: LeaseState): LeaseState => ({...state, platformDownSinceMs: undefined, lastPlatformFailureMs: undefined});

/** Records a lease row that was read. A released pool is claimed at once, not at the next tick. */
const applyRow = (state: LeaseState, row: LeaseRow, nowMs: number): LeaseStep => {
	const next = withPlatformUp(state);
	const pool = recordRow(poolOf(next, row.service), row, nowMs);
	const step = pool.isReleased ? tickPool(next, row.service, pool, nowMs) : {pool, effects: []};
	return {state: withPool(next, row.service, step.pool), effects: step.effects};
};

const clearPending = (state: LeaseState, services: readonly string[]): LeaseState =>
	updatePools(state, services, service => service, (next, service) =>
		({pool: {...poolOf(next, service), isRowCallPending: false}, effects: []})).state;

const applyMessage = (state: LeaseState, message: LeaseMessage, nowMs: number): LeaseStep => {
	switch (message.kind) {
		case 'tick': {
			return applyTick(state, message, nowMs);
		}

		case 'notice': {
			return applyNotice(state, message, nowMs);
		}

		case 'row': {
			return applyRow(state, message.row, nowMs);
		}

		case 'written': {
			return updatePools(withPlatformUp(state), message.rows, ({service}) => service, (next, row) =>
				recordWrite(next, row, message.sentMs, nowMs));
		}

		case 'conflict': {
			return updatePools(clearPending(withPlatformUp(state), message.services), message.rows, ({service}) => service, (next, row) =>
				({pool: recordRow(poolOf(next, row.service), row, nowMs), effects: []}));
		}

		case 'failed': {
			const down = {...state, platformDownSinceMs: state.platformDownSinceMs ?? nowMs, lastPlatformFailureMs: nowMs};
			return {state: clearPending(down, message.services), effects: []};
		}

		case 'leave': {
			return updatePools({...state, isLeaving: true}, Object.entries(state.pools), ([service]) => service, (next, [service, pool]) =>
				releaseLease(next, service, pool, rankCandidates(next, service).find(id => id !== state.self)));
		}
	}
};

/** Describes what other tasks see of a pool: the followed tenure, and whether this VM has a valid lease. */
const visibleState = (state: LeaseState, service: string, nowMs: number): string => {
	const pool = poolOf(state, service);
	return `${pool.followed?.holder ?? ''} ${pool.followed?.epoch ?? 0} ${pool.ownLease !== undefined} ${isValid(pool, nowMs)}`;
};

/** Handles one message; returns the next state and the effects to carry out. */
export const stepLease = (state: LeaseState, message: LeaseMessage, nowMs: number): LeaseStep => {
	const step = applyMessage(state, message, nowMs);
	const changed = Object.keys(step.state.pools)
		.filter(service => visibleState(state, service, nowMs) !== visibleState(step.state, service, nowMs))
		.map(service => ({kind: 'changed', service} as const));
	return {state: step.state, effects: [...step.effects, ...changed]};
};
