/** The platform's rows: renewal by the holder, and what a read or write tells. */
import {isVacant, mayCallPlatform} from './lease-claim.js';
import {takeLease} from './lease-pool.js';
import {
	poolOf, type PoolStep, extendValidity, withPool,
} from './lease-state.js';
import {
	type LeaseEffect, type LeaseRow, type LeaseState, type LeaseStep, type LeaseWrite, type PoolLeaseState, type ObservedRow,
} from './types.js';

/** Writes the rows of all own leases in one transaction. */
export const renewLeases = (state: LeaseState, nowMs: number): LeaseStep => {
	const due = Object.entries(state.pools).filter(([, pool]) => pool.ownLease && !pool.isRowCallPending);
	if (due.length === 0 || nowMs - state.lastRenewalMs < state.timing.renewIntervalMs || !mayCallPlatform(state, nowMs)) {
		return {state, effects: []};
	}

	let next: LeaseState = {...state, lastRenewalMs: nowMs};
	const rows: LeaseWrite[] = [];
	const effects: LeaseEffect[] = [];
	for (const [service, pool] of due) {
		next = withPool(next, service, {...pool, isRowCallPending: true});
		if (pool.row) {
			rows.push({
				service, holder: state.self, epoch: pool.ownLease!.epoch, expectRevision: pool.row.revision,
			});
		} else {
			effects.push({kind: 'read', service});
		}
	}

	return {state: next, effects: rows.length > 0 ? [...effects, {kind: 'write', rows}] : effects};
};

const observedRow = (row: LeaseRow, nowMs: number): ObservedRow => ({
	holder: row.holder, epoch: row.epoch, revision: row.revision, seenMs: nowMs,
});

/** Remembers a row; one that has not changed keeps its first sighting. */
export const recordRow = (pool: PoolLeaseState, row: LeaseRow, nowMs: number): PoolLeaseState => {
	const isSame = pool.row?.revision === row.revision;
	return {
		...pool,
		isRowCallPending: false,
		row: isSame ? pool.row : observedRow(row, nowMs),
		maxEpoch: Math.max(pool.maxEpoch, row.epoch),
	};
};

/** Takes or renews the lease whose row was written. */
export const recordWrite = (state: LeaseState, row: LeaseRow, sentMs: number, nowMs: number): PoolStep => {
	const pool = recordRow(poolOf(state, row.service), row, nowMs);
	if (pool.ownLease?.epoch === row.epoch) {
		return {pool: extendValidity(state, {...pool, ownLease: {...pool.ownLease, writtenMs: sentMs}}, nowMs), effects: []};
	}

	const isStillVacant = isVacant(state, pool, nowMs) && pool.maxEpoch <= row.epoch && !state.isLeaving;
	return isStillVacant
		? takeLease(state, row.service, pool, {epoch: row.epoch, writtenMs: sentMs, claimedMs: nowMs})
		: {pool, effects: []};
};
