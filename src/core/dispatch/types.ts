/** What an entry router asks of the dispatch of its VM, and what it gets. */

/** One request that waits for a slot of a target. The body stays at the entry router. */
export type DispatchRequest = {
	readonly requestId: string;
	readonly team: string;
	readonly service: string;
	/** Cost that the caller expects, in cost units. */
	readonly costHint?: number;
	/** Cost that this VM expects, in cost units. */
	readonly estimatedCost: number;
	/** Hash of the prompt's beginning: equal values profit from the same target. */
	readonly prefixHash?: number;
	/** Reading of the VM's monotonic clock after which a grant is useless. */
	readonly deadlineMs: number;
	/** What a scheduler that places requests by their route needs besides. */
	readonly placement?: PlacementInput;
};

/** One shared part of a prompt, in order. */
export type PromptPart = {
	/** Equal ids stand for equal text after equal earlier parts. */
	readonly id: string;
	readonly tokens: number;
};

/** The prompt of a request to a model engine. */
export type Prompt = {
	readonly model: string;
	readonly parts: readonly PromptPart[];
	/** Tokens of the whole prompt. */
	readonly tokens: number;
	/** Output tokens that are expected. */
	readonly outputTokens: number;
};

export type PlacementInput = {
	readonly prompt?: Prompt;
	/** Milliseconds from arrival within which the answer has its full value. */
	readonly targetLatencyMs: number;
	/** Monotonic milliseconds of arrival. */
	readonly arrivedMs: number;
	/** Targets that this request was sent to before. */
	readonly tried: readonly string[];
	/** Whether the caller has part of the answer and waits for its next event. */
	readonly isResumed: boolean;
	/** Monotonic milliseconds at which the caller leaves when nothing has come; absent when it waits for its deadline. */
	readonly callerLeavesMs?: number;
	/** Monotonic milliseconds of the caller's first attempt, going by the time that it has left; absent when this is the first. */
	readonly firstAttemptMs?: number;
	/** Urgency by the configuration; the least is the most urgent. */
	readonly priority?: number;
	/** Kind of request: the name of its route, by which versions of a service are compared too. */
	readonly kind?: string;
};

/** What an answer says of its target's load. */
export type ReportedLoad = {
	readonly running: number;
	readonly waiting: number;
	readonly slots: number;
	/** Time that work takes on its machine now, in percent of the usual; absent if it does not say. */
	readonly workPercent?: number;
};

/** What a call notices on its way. */
export type Observation =
	| {readonly kind: 'load'; readonly load: ReportedLoad}
	/** The first token has arrived: the prompt has been read. */
	| {readonly kind: 'first-token'}
	/** The target says that it is another process than the one asked for. */
	| {readonly kind: 'misdirected'}
	/** The target says that it leaves. */
	| {readonly kind: 'leaving'}
	/** The target wants nothing from this VM for a time. */
	| {readonly kind: 'held-off'; readonly forMs: number};

/** The right to start one request at one target. */
export type Grant = {
	readonly grantId: string;
	readonly target: string;
	/** `host:port` of the target. */
	readonly address: string;
	/** Fencing number: the epoch of the pool's lease. */
	readonly epoch: bigint;
	/** Instance id of the target's process as last seen; empty when unknown. */
	readonly instance: string;
	/** Reading of the VM's monotonic clock after which the request may not start. */
	readonly expiresAtMs: number;
	/** `host:port` of a target that keeps more of the prompt and can pass it on. */
	readonly copyPromptFrom?: string;
};

/**
 * How the use of a grant ended: `answered` whole; `overloaded` or `refused` (fencing) by
 * the target without running; `failed` after sending; `cancelled` by the caller;
 * `unsent` when no byte was written.
 */
export type GrantResult = {
	readonly kind: 'answered' | 'overloaded' | 'refused' | 'failed' | 'cancelled' | 'unsent';
	/** True cost so far, in cost units. */
	readonly cost: number;
	/** Milliseconds from the first byte sent to the end. */
	readonly answerMs: number;
	/** Instance id that the target named, if it answered. */
	readonly instance?: string;
};

/** A pending ask. */
export type PendingGrant = {
	/** Rejects with a `RefusalError` whose `notRun` is true. */
	readonly granted: Promise<Grant>;
	/** Takes the ask back. A grant that has already been given must be ended instead. */
	readonly withdraw: () => void;
};

/** Dispatch as an entry router sees it. */
export type Scheduler = {
	readonly submit: (request: DispatchRequest) => PendingGrant;
	/** Checked right before the first byte is written to the target. */
	readonly isValid: (grant: Grant) => boolean;
	/** Called exactly once for each grant. */
	readonly end: (grant: Grant, result: GrantResult) => void;
	/** Told what a call notices before its end. */
	readonly observe?: (grant: Grant, observation: Observation) => void;
};
