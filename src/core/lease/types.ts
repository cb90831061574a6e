/** Who dispatches the pools of one data centre, as one of its VMs sees it. */

/** A VM of the data centre, the own one included. Times are of the own clock. */
export type LeaseMember = {
	readonly id: string;
	/** May become holder: heard within the heartbeat timeout and not leaving. */
	readonly isCandidate: boolean;
	/** Counts in the quorum: live by the platform's list or by its own word. */
	readonly isCounted: boolean;
	readonly heardMs: number | undefined;
	/** The latest reading of the own clock at which the member is known to have heard this VM. */
	readonly confirmedMs: number | undefined;
	/** Whom the member hears. */
	readonly hears: readonly string[];
	/** Since when its present process has been heard. */
	readonly aliveSinceMs: number | undefined;
};

/** A holder and its epoch. */
export type Tenure = {readonly holder: string; readonly epoch: number};

/** Whom a member follows, and when it is known to have heard this VM before saying so. */
export type FollowStatement = Tenure & {readonly confirmedMs: number | undefined};

/** A lease row of the platform's table. */
export type LeaseRow = Tenure & {readonly service: string; readonly revision: number | 'absent'};

/** A row as this VM saw it, and when. */
export type ObservedRow = Tenure & {readonly revision: number | 'absent'; readonly seenMs: number};

/** A lease that this VM claims or holds. */
export type OwnLease = {
	readonly epoch: number;
	readonly claimedMs: number;
	/** When the latest successful write of the row was sent. */
	readonly writtenMs: number | undefined;
	/** The moment up to which the lease is valid; it may have passed. */
	readonly validUntilMs: number;
	/** True once the lease has been valid. */
	readonly wasValid: boolean;
};

export type PoolLeaseState = {
	/** The tenure with the highest epoch that this VM has accepted. */
	readonly followed: Tenure | undefined;
	/** The followed holder has given the lease up. */
	readonly isReleased: boolean;
	/** Whom the holder named as its successor. */
	readonly successor: string | undefined;
	/** The highest epoch seen anywhere. */
	readonly maxEpoch: number;
	/** What other members follow, by their own word. */
	readonly followedByMember: Readonly<Record<string, FollowStatement>>;
	readonly ownLease: OwnLease | undefined;
	readonly row: ObservedRow | undefined;
	/** A read or write of the row is under way. */
	readonly isRowCallPending: boolean;
	/** Since when the pool has had no holder that is heard. */
	readonly vacantSinceMs: number | undefined;
};

export type LeaseState = {
	readonly self: string;
	readonly startedMs: number;
	readonly isLeaving: boolean;
	readonly members: readonly LeaseMember[];
	readonly pools: Readonly<Record<string, PoolLeaseState>>;
	/** Since when each call to the platform has failed. */
	readonly platformDownSinceMs: number | undefined;
	/** When the last call failed; the next is made a while later. */
	readonly lastPlatformFailureMs: number | undefined;
	readonly lastRenewalMs: number;
	readonly timing: LeaseTiming;
};

/** Durations in milliseconds. */
export type LeaseTiming = {
	/** A lease is valid for this long after its latest confirmation. */
	readonly leaseMs: number;
	/** Between two writes of the rows of a holder. */
	readonly renewIntervalMs: number;
	/** The longest time for which a holder grants slots. */
	readonly slotLeaseMs: number;
	/** Added to what is waited for, for clocks that run at slightly different rates. */
	readonly clockMarginMs: number;
	/** The next VM in rank waits this much longer before it claims. */
	readonly rankDelayMs: number;
	/** After a failed call the platform is left alone for this long. */
	readonly platformRetryDelayMs: number;
	/** The platform counts as down when each call has failed for this long. */
	readonly platformDownAfterMs: number;
	/** A holder moves a pool to its preferred VM once that has been alive for this long. */
	readonly rebalanceAfterMs: number;
	/** A claim that no quorum has confirmed for this long is given up. */
	readonly claimTimeoutMs: number;
};

/** What one VM tells another of a pool. */
export type LeaseNoticeMessage = Tenure & {
	readonly kind: 'notice';
	readonly from: string;
	readonly service: string;
	readonly isHandover: boolean;
	readonly successor: string | undefined;
	/** The latest reading of the own clock that the sender has confirmed, as in `LeaseMember`. */
	readonly confirmedMs: number | undefined;
};

export type LeaseMessage =
	| {readonly kind: 'tick'; readonly members: readonly LeaseMember[]; readonly services: readonly string[]}
	| LeaseNoticeMessage
	/** A row was read. */
	| {readonly kind: 'row'; readonly row: LeaseRow}
	/** Rows were written; `sentMs` is when the call began. */
	| {readonly kind: 'written'; readonly sentMs: number; readonly rows: readonly LeaseRow[]}
	/** A write met other rows than expected; nothing was written. */
	| {readonly kind: 'conflict'; readonly services: readonly string[]; readonly rows: readonly LeaseRow[]}
	/** A read or write got no answer, and left no known effect. */
	| {readonly kind: 'failed'; readonly services: readonly string[]}
	| {readonly kind: 'leave'};

/** A row to write. */
export type LeaseWrite = Tenure & {readonly service: string; readonly expectRevision: number | 'absent'};

export type LeaseEffect =
	| {readonly kind: 'read'; readonly service: string}
	/** Write all rows in one transaction. */
	| {readonly kind: 'write'; readonly rows: readonly LeaseWrite[]}
	/** Tell all VMs of the data centre. */
	| (Tenure & {
		readonly kind: 'announce';
		readonly service: string;
		readonly isHandover: boolean;
		readonly successor: string | undefined;
	})
	/** Tell the holder that this VM follows it. */
	| (Tenure & {readonly kind: 'confirm'; readonly service: string})
	/** The holder of a pool, as this VM sees it, or whether it is the own VM, has changed. */
	| {readonly kind: 'changed'; readonly service: string};

export type LeaseStep = {readonly state: LeaseState; readonly effects: readonly LeaseEffect[]};
