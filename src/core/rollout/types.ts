/** Types of version roll-outs: the operator's order, the stored state, announcements between VMs and the evidence that VMs report. */

/** An operator's order to move a service's traffic to targets of another version. */
export type RolloutOrder = {
	/** Store version of the order's row when it was ordered, which identifies the order; later orders have higher versions. */
	readonly version: number;
	/** Present store version of the row, if the operator wrote it again after the store came back from an older copy. */
	readonly rowVersion?: number;
	readonly to: string;
	/** Milliseconds from the write of the order within which the roll-out must end. */
	readonly durationMs: number;
};

/** An order with the time at which it was written, by this VM's clock; the time may be a little late. */
export type TimedRolloutOrder = RolloutOrder & {readonly orderedMs: number};

/** The row of a service's order as read from the store, or its removal. */
export type RolloutOrderRow = {
	/** Undefined when the row does not exist. */
	readonly order: RolloutOrder | undefined;
	/** Store version of the change; for a removal found by a read of the table, the version of that read. */
	readonly rowVersion: number;
	/** True for a change that was received soon after its write; false for what a read of the whole table found. */
	readonly isChange: boolean;
	/** Whether an equal row is the known order, written again after the store came back from an older copy. */
	readonly isRewritten?: boolean;
};

/** `trial` sends a small share of the traffic to the new version, `moving` raises it by steps; the other two are final. */
export type RolloutPhase = 'trial' | 'moving' | 'completed' | 'rolled-back';

/** The state row of a service's roll-out, as a coordinator writes it to the store. */
export type RolloutState = {
	/** Store version of the order that is carried out. */
	readonly order: number;
	readonly to: string;
	/** Versions that served the service before the order. */
	readonly before: readonly string[];
	/** Versions that were rolled back, or abandoned for a later order. */
	readonly refused: readonly string[];
	readonly phase: RolloutPhase;
	/** Share of the service's requests that go to the new version. */
	readonly share: number;
	/** Number of writes of the row. */
	readonly counter: number;
	/** Wall-clock time in milliseconds at which a coordinator first saw the order. VMs that start later have no other source for the order's age. */
	readonly orderedWallMs: number;
};

/** A state row with the store version of its last write. */
export type StoredRolloutState = {
	readonly state: RolloutState;
	readonly revision: number;
};

/** A coordinator's announcement of the state row that it has written, as VMs pass it on. */
export type Announcement = StoredRolloutState & {
	readonly service: string;
	/** The coordinator that last renewed the announcement; empty when unknown. */
	readonly coordinator: string;
	/** True when the new version gets no further requests although the row does not say so yet. */
	readonly isHeld: boolean;
	/** Whether the coordinator hands over because it cannot reach the store or most of the VMs. */
	readonly isSteppingDown?: boolean;
	/** Milliseconds since the coordinator renewed the announcement. */
	readonly ageMs: number;
	/** Lower bound of the milliseconds since the order was written. */
	readonly orderAgeMs: number;
};

/** Counts of the responses of one version on one route since the order. Sums of times are sums of the natural logarithms of milliseconds. */
export type ResponseCounts = {
	readonly complete: number;
	/** Failures of the target itself, and responses that broke off. */
	readonly failed: number;
	/** Responses whose times are counted: those of warm targets. */
	readonly timed: number;
	/** Timed responses whose first chunk came long after the latency target, or not at all. */
	readonly late: number;
	/** Sum, and sum of squares, of the times to the first chunk. */
	readonly firstSum: number;
	readonly firstSquares: number;
	/** Number of timed responses that ended. The next two fields are the sum, and the sum of squares, of their times to the end. */
	readonly ended: number;
	readonly endSum: number;
	readonly endSquares: number;
};

export type RouteCounts = {
	readonly route: string;
	readonly before: ResponseCounts;
	readonly next: ResponseCounts;
};

/** Evidence about a roll-out that one VM has counted since the order. */
export type EvidenceReport = {
	readonly service: string;
	readonly order: number;
	/** Differs after each restart of the VM, which resets its counts. */
	readonly incarnation: string;
	/** Number of the report within its incarnation. */
	readonly sequence: number;
	/** Revision of the state row that the VM follows. */
	readonly revision: number;
	/** Requests of the VM that run at versions other than the new one. */
	readonly runningBefore: number;
	readonly routes: readonly RouteCounts[];
};

/** Limits, from the settings, on the requests that an unverified version may get. */
export type ExposureBounds = {
	/** Share of a service's requests that a bad version may get, over the whole fleet. */
	readonly share: number;
	/** Requests allowed beyond that share. */
	readonly slack: number;
	/** Milliseconds after a version's 50th bad response within which requests to it must stop. */
	readonly rollbackMs: number;
};

/** Reason for a step of a roll-out; logged in the field `reason`. */
export type RolloutReason =
	| 'ordered' | 'little-evidence' | 'order-replaced' | 'order-removed' | 'evidence-good' | 'version-drained' | 'time-limit'
	| 'failures' | 'slow' | 'late' | 'too-little-evidence' | 'exposure' | 'no-target' | 'held-elsewhere' | 'already-there' | 'restored';

/** A conditional write of a service's state row, which is done only if the row and the order are the expected ones. */
export type RolloutWrite = {
	/** Expected store version of the order's row; 0 when there is none. */
	readonly order: number;
	/** Expected revision of the state row; 0 when there is none. */
	readonly expected: number;
	readonly state: RolloutState;
	readonly reason: RolloutReason;
};

/** Result of a write. */
export type RolloutWriteResult =
	| {readonly kind: 'written'; readonly revision: number}
	/** The row or the order was not the expected one; nothing was written. */
	| {readonly kind: 'conflict'}
	/** Nothing was written. */
	| {readonly kind: 'not-written'}
	/** The write may have been done, or may still be done. */
	| {readonly kind: 'maybe-written'};
