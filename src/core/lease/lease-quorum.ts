/**
 * For how long a holder's lease is valid. Two quorums back each other up: a majority of
 * the data centre's VMs, or the platform's row together with half of them. Any two
 * majorities, and any majority and half, have a VM in common; of two halves only one
 * can hold the row.
 */
import {
	type LeaseMember, type LeaseState, type OwnLease, type PoolLeaseState,
} from './types.js';

/** Members that make up a majority. */
export const majorityOf = (count: number): number => Math.floor(count / 2) + 1;

/** Members that suffice together with the platform's row. */
export const halfOf = (count: number): number => Math.max(1, Math.ceil(count / 2));

/** Members that count in quorums. */
export const countedMembers = (members: readonly LeaseMember[]): readonly LeaseMember[] =>
	members.filter(({isCounted}) => isCounted);

const never = Number.NEGATIVE_INFINITY;

/** The latest moment at which `quorum` members had confirmed; they are sorted latest first. */
const quorumMs = (confirmations: readonly number[], quorum: number): number => confirmations[quorum - 1] ?? never;

/** Times at which the members that follow the own tenure had heard this VM, latest first. */
const confirmations = (state: LeaseState, pool: PoolLeaseState, ownLease: OwnLease): readonly number[] =>
	countedMembers(state.members)
		.map(({id, confirmedMs}) => {
			const statement = id === state.self ? pool.followed && {...pool.followed, confirmedMs} : pool.followedByMember[id];
			const isFollower = statement?.holder === state.self && statement.epoch === ownLease.epoch;
			return isFollower ? statement.confirmedMs ?? never : never;
		})
		.toSorted((a, b) => b - a);

/**
 * The moment up to which the own lease is valid. Only readings of the own clock enter
 * it: when the row's write was sent, and when the heartbeats that members echoed were sent.
 */
export const validUntilMs = (state: LeaseState, pool: PoolLeaseState, ownLease: OwnLease): number => {
	const {leaseMs} = state.timing;
	const confirmedMs = confirmations(state, pool, ownLease);
	const count = countedMembers(state.members).length;
	const withoutPlatform = quorumMs(confirmedMs, majorityOf(count));
	const withPlatform = Math.min(ownLease.writtenMs ?? never, quorumMs(confirmedMs, halfOf(count)));
	return Math.max(withoutPlatform, withPlatform) + leaseMs;
};
