/**
 * The messages between a pool's dispatcher and its members, and between dispatchers. They
 * are the messages of `control.proto` as plain read-only data. All counters are cumulative,
 * so that a lost or repeated message does no harm.
 */

/** A team's waiting and running requests at one member. */
export type TeamDemand = {
	readonly team: string;
	/** Number of requests that wait to start. */
	readonly queued: number;
	/** Mean estimated cost of the waiting requests, in cost units. */
	readonly meanCost: number;
	/** Age of the oldest waiting request, in milliseconds. */
	readonly oldestMs: number;
	/** Actual cost of the requests ended so far, in cost units. */
	readonly charged: number;
	/** Estimated cost of the running requests, in cost units. */
	readonly runningCost: number;
	/** Number of approvals used up, including those for which no request waited any more. */
	readonly approvalsUsed: number;
};

/** A member's use of the slots of one target. */
export type TargetUse = {
	readonly target: string;
	readonly running: number;
	/** Number of slots released so far. */
	readonly released: number;
	readonly answered: number;
	readonly overloaded: number;
	readonly failed: number;
	readonly answerMsSum: number;
	/** Id of the process instance that sent the latest response; empty when unknown. */
	readonly instance: string;
};

/** A member's report to the dispatcher of its pool. */
export type Report = {
	readonly service: string;
	readonly dataCentre: string;
	readonly member: string;
	/** Changes with each start of the member's process and each time the member joins the pool. */
	readonly incarnation: string;
	readonly seq: number;
	/** Lease epoch of the allotment that the counters refer to; 0 when joining. */
	readonly epoch: bigint;
	readonly dispatcher: string;
	readonly teams: readonly TeamDemand[];
	readonly targets: readonly TargetUse[];
	/** Whether a request waits for which the member holds no usable slot. */
	readonly urgent: boolean;
	readonly leaving: boolean;
};

/** Slots of one target that the dispatcher grants to a member. */
export type SlotGrant = {
	readonly target: string;
	/** Number of slots granted so far; the member holds `granted - released`. */
	readonly granted: number;
	/** Keep limit: the member releases the slots that it holds above this number as soon as they are idle. */
	readonly keep: number;
	/** Validity in milliseconds, where shorter than the allotment's; 0 when the allotment's holds. */
	readonly leaseMs: number;
};

/** Number of requests of a team that a member may start in ordered mode. */
export type Approval = {
	readonly team: string;
	/** Number of approvals so far. */
	readonly approved: number;
};

/** A dispatcher's reply to a member's report: the slots and approvals of that member. */
export type Allotment = {
	readonly service: string;
	readonly dataCentre: string;
	readonly member: string;
	readonly incarnation: string;
	/** Sequence number of the report that this replies to. Validity counts from when that report was sent. */
	readonly reportSeq: number;
	readonly epoch: bigint;
	readonly dispatcher: string;
	readonly slots: readonly SlotGrant[];
	/** Ordered mode: whether only approved requests may start, in the approved order. */
	readonly ordered: boolean;
	readonly approvals: readonly Approval[];
	/** Outstanding approvals in the order in which their requests start: indices into `approvals`. */
	readonly order: readonly number[];
	/** Number of requests that the pool serves per second. */
	readonly drainPerS: number;
	/** Number of requests that wait in the pool. */
	readonly queued: number;
	readonly leaseMs: number;
};

/** Service of one team in one data centre, in cost units. */
export type TeamService = {
	readonly team: string;
	/** Actual cost of the requests ended so far. */
	readonly charged: number;
	/** Pending cost: the estimated cost of running and approved requests. */
	readonly promised: number;
	readonly backlogged: boolean;
};

/** Cumulative service of one data centre's requests, sent to the dispatchers of the other data centres. */
export type Exchange = {
	readonly service: string;
	readonly dataCentre: string;
	readonly incarnation: string;
	readonly epoch: bigint;
	readonly teams: readonly TeamService[];
	readonly queued: number;
	readonly idle: number;
};
