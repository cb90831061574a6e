/**
 * The leases on the pools of one data centre, as one of its VMs knows them. The VM that
 * holds the lease of a pool runs the pool's dispatcher.
 */

/** A VM of the data centre; this VM is one too. Times are readings of this VM's clock. */
export type LeaseMember = {
	readonly id: string;
	/** Whether it may become holder: it sent a heartbeat within the timeout and is not leaving. */
	readonly isCandidate: boolean;
	/** Whether it counts in quorums: it is alive by its heartbeats or by the platform's list, and not leaving. */
	readonly isCounted: boolean;
	/** When its latest heartbeat arrived. */
	readonly heardMs: number | undefined;
	/** Latest time at which the member is known to have received a heartbeat from this VM, by the heartbeat that it echoed. */
	readonly confirmedMs: number | undefined;
	/** Ids of the VMs from which the member receives heartbeats. */
	readonly hears: readonly string[];
	/** Since when heartbeats of its present process have arrived. */
	readonly aliveSinceMs: number | undefined;
};

/** A holder of a pool's lease, and the epoch at which it holds the lease. */
export type Tenure = {readonly holder: string; readonly epoch: number};

/** The tenure that a member follows. `confirmedMs` is as in `LeaseMember`, as of the member's report. */
export type FollowStatement = Tenure & {readonly confirmedMs: number | undefined};

/** A lease row in the platform's table. */
export type LeaseRow = Tenure & {readonly service: string; readonly revision: number | 'absent'};

/** A lease row as this VM read or wrote it, and when it first saw that revision. */
export type ObservedRow = Tenure & {readonly revision: number | 'absent'; readonly seenMs: number};

/** A lease that this VM claims or holds. */
export type OwnLease = {
	readonly epoch: number;
	readonly claimedMs: number;
	/** When the latest successful write of the row was sent. */
	readonly writtenMs: number | undefined;
	/** Time until which the lease is valid; it may have passed. */
	readonly validUntilMs: number;
	/** Whether the lease has ever been valid. */
	readonly wasValid: boolean;
};

/** The lease of one pool, as this VM knows it. */
export type PoolLeaseState = {
	/** The tenure with the highest epoch that this VM has accepted. */
	readonly followed: Tenure | undefined;
	/** Whether the followed holder has released the lease. */
	readonly isReleased: boolean;
	/** The VM that the holder named as its successor. */
	readonly successor: string | undefined;
	/** The highest epoch seen in any notice or row. */
	readonly maxEpoch: number;
	/** The tenures that other members report to follow, by member. */
	readonly followedByMember: Readonly<Record<string, FollowStatement>>;
	readonly ownLease: OwnLease | undefined;
	readonly row: ObservedRow | undefined;
	/** Whether a read or write of the lease row is pending. */
	readonly isRowCallPending: boolean;
	/** Since when the pool has been without a holder, as far as this VM can tell. */
	readonly vacantSinceMs: number | undefined;
};

/** State of one VM's lease decisions for all pools of its data centre. */
export type LeaseState = {
	readonly self: string;
	readonly startedMs: number;
	readonly isLeaving: boolean;
	readonly members: readonly LeaseMember[];
	readonly pools: Readonly<Record<string, PoolLeaseState>>;
	/** Since when all calls to the platform have failed. */
	readonly platformDownSinceMs: number | undefined;
	/** When the latest call to the platform failed; the next one is made after `platformRetryDelayMs`. */
	readonly lastPlatformFailureMs: number | undefined;
	readonly lastRenewalMs: number;
	readonly timing: LeaseTiming;
};

/** Durations, in milliseconds, that the lease decisions use. */
export type LeaseTiming = {
	/** Milliseconds for which a lease is valid after its latest confirmation. */
	readonly leaseMs: number;
	/** Interval between two writes of a holder's rows. */
	readonly renewIntervalMs: number;
	/** Most milliseconds for which the slots that a lease holder grants are valid. */
	readonly slotLeaseMs: number;
	/** Added to waits for a lease to expire, since clocks run at slightly different rates. */
	readonly clockMarginMs: number;
	/** Additional delay, per rank, before a VM claims a pool without a holder. */
	readonly rankDelayMs: number;
	/** Delay after a failed call to the platform before the next one. */
	readonly platformRetryDelayMs: number;
	/** The platform counts as down when all calls have failed for this long. */
	readonly platformDownAfterMs: number;
	/** A holder hands a pool over to the preferred VM when the preferred VM has been alive for this long. */
	readonly rebalanceAfterMs: number;
	/** A claim that no quorum has confirmed within this time is dropped. */
	readonly claimTimeoutMs: number;
};

/** A notice from another VM about a pool's lease: a claim, a handover, or the tenure that the sender follows. */
export type LeaseNoticeMessage = Tenure & {
	readonly kind: 'notice';
	readonly from: string;
	readonly service: string;
	readonly isHandover: boolean;
	readonly successor: string | undefined;
	/** As `confirmedMs` of `LeaseMember`, for the sender. */
	readonly confirmedMs: number | undefined;
};

export type LeaseMessage =
	| {readonly kind: 'tick'; readonly members: readonly LeaseMember[]; readonly services: readonly string[]}
	| LeaseNoticeMessage
	/** A lease row was read. */
	| {readonly kind: 'row'; readonly row: LeaseRow}
	/** Lease rows were written; `sentMs` is when the call began. */
	| {readonly kind: 'written'; readonly sentMs: number; readonly rows: readonly LeaseRow[]}
	/** A write found other revisions than expected; nothing was written. */
	| {readonly kind: 'conflict'; readonly services: readonly string[]; readonly rows: readonly LeaseRow[]}
	/** A read or write failed; whether a write took effect is not known. */
	| {readonly kind: 'failed'; readonly services: readonly string[]}
	| {readonly kind: 'leave'};

/** A lease row to write, if it still has the expected revision. */
export type LeaseWrite = Tenure & {readonly service: string; readonly expectRevision: number | 'absent'};

export type LeaseEffect =
	| {readonly kind: 'read'; readonly service: string}
	/** Write all rows in one transaction. */
	| {readonly kind: 'write'; readonly rows: readonly LeaseWrite[]}
	/** Send a claim or a handover to all VMs of the data centre. */
	| (Tenure & {
		readonly kind: 'announce';
		readonly service: string;
		readonly isHandover: boolean;
		readonly successor: string | undefined;
	})
	/** Report to the holder that this VM follows it. */
	| (Tenure & {readonly kind: 'confirm'; readonly service: string})
	/** The followed tenure of a pool, or whether this VM holds its valid lease, has changed. */
	| {readonly kind: 'changed'; readonly service: string};

export type LeaseStep = {readonly state: LeaseState; readonly effects: readonly LeaseEffect[]};
