/**
 * The time until which a holder's lease is valid. It rests on either of two quorums: a
 * majority of the data centre's VMs, or the lease row together with half of the VMs. Any
 * two majorities, and any majority and half, have a VM in common; of two halves, only one
 * can have the row.
 */
import {
	type LeaseMember, type LeaseState, type OwnLease, type PoolLeaseState,
} from './types.js';

/** Returns how many of `count` members are a majority. */
export const majorityOf = (count: number): number => Math.floor(count / 2) + 1;

/** Returns how many of `count` members are enough together with the lease row. */
export const halfOf = (count: number): number => Math.max(1, Math.ceil(count / 2));

/** Returns the members that count in quorums. */
export const countedMembers = (members: readonly LeaseMember[]): readonly LeaseMember[] =>
	members.filter(({isCounted}) => isCounted);

const never = Number.NEGATIVE_INFINITY;

/** Returns the latest time at which at least `quorum` members had confirmed the lease. The confirmations are sorted, latest first. */
const quorumMs = (confirmations: readonly number[], quorum: number): number => confirmations[quorum - 1] ?? never;

/** Returns the times at which the members that follow this VM had received a heartbeat from it, latest first. */
const confirmations = (state: LeaseState, pool: PoolLeaseState, ownLease: OwnLease): readonly number[] =>
	countedMembers(state.members)
		.map(({id, confirmedMs}) => {
			const statement = id === state.self ? pool.followed && {...pool.followed, confirmedMs} : pool.followedByMember[id];
			const isFollower = statement?.holder === state.self && statement.epoch === ownLease.epoch;
			return isFollower ? statement.confirmedMs ?? never : never;
		})
		.toSorted((a, b) => b - a);

/**
 * Returns the time until which this VM's lease is valid. Only this VM's clock counts: the time
 * at which this VM sent its last successful write of the lease row, and the times at which it
 * sent the heartbeats that the members have echoed.
 */
export const validUntilMs = (state: LeaseState, pool: PoolLeaseState, ownLease: OwnLease): number => {
	const {leaseMs} = state.timing;
	const confirmedMs = confirmations(state, pool, ownLease);
	const count = countedMembers(state.members).length;
	const withoutPlatform = quorumMs(confirmedMs, majorityOf(count));
	const withPlatform = Math.min(ownLease.writtenMs ?? never, quorumMs(confirmedMs, halfOf(count)));
	return Math.max(withoutPlatform, withPlatform) + leaseMs;
};
