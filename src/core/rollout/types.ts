/** What a roll-out of a service's version is made of. */

/** What an operator orders: a service's traffic moves to targets of another version. */
export type RolloutOrder = {
	/** Store version of the order's row, which tells orders apart; later orders have higher ones. */
	readonly version: number;
	readonly to: string;
	/** Milliseconds from the order's write within which it must have ended. */
	readonly durationMs: number;
};

/** An order with the reading of this VM's clock at which it was written, or a little later. */
export type TimedRolloutOrder = RolloutOrder & {readonly orderedMs: number};

/** What became of the row of a service's order. */
export type RolloutOrderRow = {
	/** Undefined when there is none. */
	readonly order: RolloutOrder | undefined;
	/** Store version of the change. */
	readonly rowVersion: number;
	/** Whether it came as a change, soon after its write, or was there when the table was read. */
	readonly isChange: boolean;
};

export type RolloutPhase = 'trial' | 'moving' | 'completed' | 'rolled-back';

/** The system's row of a service. */
export type RolloutState = {
	/** The order that it carries out. */
	readonly order: number;
	readonly to: string;
	/** Versions that the service had before the order. */
	readonly before: readonly string[];
	/** Versions that were rolled back. */
	readonly refused: readonly string[];
	readonly phase: RolloutPhase;
	/** Part of the service's requests that go to the new version. */
	readonly share: number;
	/** Counts the writes of the row. */
	readonly counter: number;
	/** Wall-clock milliseconds at which the order was first seen; VMs that start later have nothing else to go by. */
	readonly orderedWallMs: number;
};

/** A row together with the store version of its last write. */
export type StoredRolloutState = {
	readonly state: RolloutState;
	readonly revision: number;
};

/** What a coordinator says of a row that was written. */
export type Announcement = StoredRolloutState & {
	readonly service: string;
	/** The coordinator that renewed it. */
	readonly coordinator: string;
	/** True when the new version gets nothing more, though the row does not say so yet. */
	readonly isHeld: boolean;
	/** Whether the coordinator hands over, since it cannot reach the store or most of the VMs. */
	readonly isSteppingDown?: boolean;
	/** Milliseconds since its coordinator renewed it. */
	readonly ageMs: number;
	/** Milliseconds since the order was written, at the least. */
	readonly orderAgeMs: number;
};

/** Responses of one version on one route since the order. Times are natural logarithms of milliseconds. */
export type ResponseCounts = {
	readonly complete: number;
	/** Failures of the target's own and broken responses. */
	readonly failed: number;
	/** Responses whose times count: those of warm targets. */
	readonly timed: number;
	/** Of these, responses whose first part came long after the latency target or not at all. */
	readonly late: number;
	readonly firstSum: number;
	readonly firstSquares: number;
	readonly ended: number;
	readonly endSum: number;
	readonly endSquares: number;
};

export type RouteCounts = {
	readonly route: string;
	readonly before: ResponseCounts;
	readonly next: ResponseCounts;
};

/** What one VM saw of a roll-out since its order. */
export type EvidenceReport = {
	readonly service: string;
	readonly order: number;
	/** Differs after each restart of the VM, whose counts begin anew. */
	readonly incarnation: string;
	/** Counts the reports of one incarnation. */
	readonly sequence: number;
	/** Revision of the row that the VM goes by. */
	readonly revision: number;
	/** Requests of the VM that run at other versions than the new one. */
	readonly runningBefore: number;
	readonly routes: readonly RouteCounts[];
};

/** The promises of the deployment about unproved versions. */
export type ExposureBounds = {
	/** Part of a service's requests that a bad version may get, over the whole fleet. */
	readonly share: number;
	/** Requests beyond that part. */
	readonly slack: number;
	/** Milliseconds after a version's 50th bad response within which it must get nothing more. */
	readonly rollbackMs: number;
};

/** Why a roll-out took a step; the field `reason` of log lines. */
export type RolloutReason =
	| 'ordered' | 'little-evidence' | 'order-replaced' | 'order-removed' | 'evidence-good' | 'version-drained' | 'time-limit'
	| 'failures' | 'slow' | 'late' | 'too-little-evidence' | 'exposure' | 'no-target' | 'held-elsewhere' | 'already-there';

/** A write of a service's row, which holds only while the row and the order are as expected. */
export type RolloutWrite = {
	/** Store version of the order's row; 0 when there is none. */
	readonly order: number;
	/** Revision of the row that is replaced; 0 when there is none. */
	readonly expected: number;
	readonly state: RolloutState;
	readonly reason: RolloutReason;
};

/** What became of a write. */
export type RolloutWriteResult =
	| {readonly kind: 'written'; readonly revision: number}
	/** The row or the order is another one. */
	| {readonly kind: 'conflict'}
	/** Nothing was written. */
	| {readonly kind: 'not-written'}
	/** It may have been written, or may still be. */
	| {readonly kind: 'maybe-written'};
