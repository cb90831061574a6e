/** Lease rows in the platform's table: their renewal by the holder, and the results of reads and writes. */
import {isVacant, mayCallPlatform} from './lease-claim.js';
import {takeLease} from './lease-pool.js';
import {
	poolOf, type PoolStep, extendValidity, withPool,
} from './lease-state.js';
import {
	type LeaseEffect, type LeaseRow, type LeaseState, type LeaseStep, type LeaseWrite, type PoolLeaseState, type ObservedRow,
} from './types.js';

/** Renews the rows of all leases of this VM in one transaction, when that is due. Rows that are not known are read first. */
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

/** Records a row. One with an unchanged revision keeps the time at which it was first seen. */
export const recordRow = (pool: PoolLeaseState, row: LeaseRow, nowMs: number): PoolLeaseState => {
	const isSame = pool.row?.revision === row.revision;
	return {
		...pool,
		isRowCallPending: false,
		row: isSame ? pool.row : observedRow(row, nowMs),
		maxEpoch: Math.max(pool.maxEpoch, row.epoch),
	};
};

/** Records a successful write of a row: renews this VM's lease, or takes it if the pool still has no holder. */
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
