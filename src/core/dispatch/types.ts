/** The interface between the entry router of a VM and the scheduler of its requests. */

/** A request to be sent to a target. Its body stays at the entry router. */
export type DispatchRequest = {
	readonly requestId: string;
	readonly team: string;
	readonly service: string;
	/** Cost that the caller expects, in cost units. */
	readonly costHint?: number;
	/** Cost that this VM estimates, in cost units. */
	readonly estimatedCost: number;
	/** Hash of the start of the prompt. Requests with equal hashes gain from the same target's prefix cache. */
	readonly prefixHash?: number;
	/** Reading of the VM's monotonic clock after which a grant is useless. */
	readonly deadlineMs: number;
	/** Present when the scheduler chooses a target for each request instead of granting slots. */
	readonly placement?: PlacementInput;
};

/** One part of a prompt's shared prefix. */
export type PromptPart = {
	/** Equal ids mean equal text, given that all earlier parts are equal too. */
	readonly id: string;
	readonly tokens: number;
};

/** The prompt of a request to a model engine. */
export type Prompt = {
	readonly model: string;
	readonly parts: readonly PromptPart[];
	/** Number of tokens of the whole prompt. */
	readonly tokens: number;
	/** Expected number of output tokens. */
	readonly outputTokens: number;
};

/** What the choice of a target takes into account. */
export type PlacementInput = {
	readonly prompt?: Prompt;
	/** Milliseconds from arrival within which the response should come: its latency target. */
	readonly targetLatencyMs: number;
	/** Reading of the VM's monotonic clock at which the request arrived. */
	readonly arrivedMs: number;
	/** Targets that earlier attempts of this request were sent to. */
	readonly tried: readonly string[];
	/** Whether the caller has received part of the response and waits for its next event. */
	readonly isResumed: boolean;
	/** Reading of the VM's monotonic clock at which the caller disconnects if it has received nothing; absent when the caller waits until its deadline. */
	readonly callerLeavesMs?: number;
	/** Reading of the VM's monotonic clock at which the caller made its first attempt, derived from the time left to its deadline; absent on the first attempt. */
	readonly firstAttemptMs?: number;
	/** Priority from the configuration; the lowest number is the most urgent. */
	readonly priority?: number;
	/** Returns a key for which the request is kept apart from others: requests with equal keys go to one target as long as they have one. */
	readonly isolateBy?: () => string | undefined;
	/** Name of the request's route. A roll-out compares the versions of a service by route. */
	readonly kind?: string;
};

/** Load that a target reports in a response. */
export type ReportedLoad = {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
	/** Duration of work on the target's machine now, in percent of its normal duration; absent when the target does not report it. */
	readonly workPercent?: number;
};

/** An event of a running call that the scheduler takes into account. */
export type Observation =
	| {readonly kind: 'load'; readonly load: ReportedLoad}
	/** The first token has arrived, so the prompt has been prefilled. */
	| {readonly kind: 'first-token'}
	/** The target reports that it is another process instance than the one addressed. */
	| {readonly kind: 'misdirected'}
	/** The target reports that it is shutting down. */
	| {readonly kind: 'leaving'}
	/** The target asks this VM to send it nothing for `forMs` milliseconds. */
	| {readonly kind: 'held-off'; readonly forMs: number};

/** The right to start one request at one target. */
export type Grant = {
	readonly grantId: string;
	readonly target: string;
	/** `host:port` of the target. */
	readonly address: string;
	/** Fencing number: the epoch of the pool's lease. */
	readonly epoch: bigint;
	/** Id of the target's process instance in its latest response; empty when unknown. */
	readonly instance: string;
	/** Reading of the VM's monotonic clock after which the request may not start. */
	readonly expiresAtMs: number;
	/** `host:port` of a target that has more of the prompt cached and from which the target can copy it. */
	readonly copyPromptFrom?: string;
};

/**
 * How the use of a grant ended: `answered` with a complete response; `overloaded` when the
 * target rejected the request before execution for lack of capacity; `refused` when it did so
 * because of an outdated fencing epoch; `failed` after the request was sent; `cancelled` by the
 * caller; `unsent` when no byte was written.
 */
export type GrantResult = {
	readonly kind: 'answered' | 'overloaded' | 'refused' | 'failed' | 'cancelled' | 'unsent';
	/** Actual cost up to the end, in cost units. */
	readonly cost: number;
	/** Milliseconds from the first byte sent to the end of the response. */
	readonly answerMs: number;
	/** Id of the process instance that the target named in its response. */
	readonly instance?: string;
};

/** A submitted request that has no grant yet. */
export type PendingGrant = {
	/** Rejects with a `RefusalError` whose `notRun` is true. */
	readonly granted: Promise<Grant>;
	/** Withdraws the request. A grant that was already received must be ended instead. */
	readonly withdraw: () => void;
};

/** Grants submitted requests the right to start at a target. */
export type Scheduler = {
	readonly submit: (request: DispatchRequest) => PendingGrant;
	/** Returns whether the grant may still be used. Called right before the first byte is written to the target. */
	readonly isValid: (grant: Grant) => boolean;
	/** Reports how the use of a grant ended. Called exactly once for each grant. */
	readonly end: (grant: Grant, result: GrantResult) => void;
	/** Reports an event of a call that has not ended. */
	readonly observe?: (grant: Grant, observation: Observation) => void;
};
