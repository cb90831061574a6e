/** States, messages and effects of the state machine of one request. */
import {type Grant, type GrantResult} from '../dispatch/types.js';
import {type RefusalError} from '../errors/refusal-error.js';

/** Fixed inputs of one request's state machine. They include the functions that it calls, so that the state machine itself is pure. */
export type AttemptSpec = {
	readonly requestId: string;
	readonly service: string;
	/** Whether the request may be sent again after a call that may have run it: `safe` if so, `never` if it may run at most once. */
	readonly repeat: 'safe' | 'never';
	/** Monotonic time in milliseconds by which the request must have been sent. */
	readonly startByMs: number;
	/** Whether an idempotency key has to be claimed before the request is queued. */
	readonly needsClaim: boolean;
	/** Withdraws one retry from the VM's retry budget; returns false when none is left. */
	readonly takeRetry: (nowMs: number) => boolean;
	/** Returns a number that is uniform in [0, 1). */
	readonly random: () => number;
	/** Most targets that the request may be sent to; unlimited if absent. Targets that rejected it before execution do not count. */
	readonly maxTargets?: number;
	/** Whether a retry after a rejection before execution is also withdrawn from the retry budget. */
	readonly limitsDeclinedRetries?: boolean;
	/** Whether a stream that broke after its first chunk may be resumed at another target. */
	readonly isResumable?: boolean;
};

/** Why a request is queued again. */
export type RetryReason = 'overloaded' | 'fenced' | 'not-connected' | 'grant-expired' | 'failed' | 'silent' | 'error-answer';

/** Why a response of a target was not used. `crossed`: it belongs to another request. `unidentified`: it has no id of the request that it belongs to. */
export type FaultReason = 'link-broken' | 'unidentified' | 'crossed' | 'malformed' | 'stalled' | 'too-large' | 'error-answer';

export type AttemptState = {
	/** `claiming`: the idempotency key is being claimed, and the request is not queued yet. */
	readonly kind: 'claiming' | 'queued' | 'granted' | 'sent' | 'ended';
	/** Present from `granted` until the grant is ended. */
	readonly grant?: Grant;
	/** Monotonic time in milliseconds of the first byte of the current call. */
	readonly sentAtMs?: number;
	/** True once a chunk of a response was sent to the caller. */
	readonly delivering: boolean;
	/** True once the caller has closed its connection. */
	readonly callerDisconnected: boolean;
	/** True once a call that was sent has failed and the request was queued again. */
	readonly mayHaveRun: boolean;
	/** Times that the request was queued again. */
	readonly retries: number;
	/** Monotonic time in milliseconds at which the retry budget permitted a retry that is not sent yet; absent if no retry waits or the retry needs no permit. */
	readonly retryPermittedMs?: number;
	/** Whether an error response of a target is stored. It is delivered if no other target runs the request. */
	readonly hasErrorResponse: boolean;
	/** Times that the connection broke before an answer had lasted. The target may have ended because of the request. */
	readonly earlyBreaks: number;
	/** Times that the request was sent to a target, except for sends that a target rejected before execution. */
	readonly sends: number;
};

export type AttemptMessage =
	| {readonly kind: 'begin'}
	/** This VM stops before the request has to end. */
	| {readonly kind: 'vm-leaving'}
	/** The process of this VM is about to end. */
	| {readonly kind: 'vm-stopping'}
	| {readonly kind: 'claimed'}
	| {readonly kind: 'claim-refused'; readonly refusal: RefusalError}
	| {readonly kind: 'granted'; readonly grant: Grant}
	| {readonly kind: 'rejected'; readonly refusal: RefusalError}
	/** A connection is open and the first byte is about to be written. `valid` is false if the grant has expired. */
	| {readonly kind: 'writing'; readonly valid: boolean}
	/** The target rejected the request before execution: it is overloaded, or the fencing epoch is outdated. */
	| {readonly kind: 'declined'; readonly reason: 'overloaded' | 'fenced'; readonly instance?: string}
	/** A chunk of the response goes to the caller. */
	| {readonly kind: 'delivering'}
	| {readonly kind: 'answered'; readonly cost: number; readonly instance?: string}
	/** The call ended without a usable response. `cost` is the cost of the chunks that arrived. */
	| {
		readonly kind: 'failed'; readonly reason: FaultReason; readonly cost: number; readonly instance?: string;
		/** Whether the answer had lasted so long that the request did not cause the failure. */
		readonly hadLasted?: boolean;
	}
	/** The target has been unresponsive for longer than its responses typically take. */
	| {readonly kind: 'silent'}
	/** The target sent a complete error response. Another target may execute the request without an error. */
	| {readonly kind: 'error-answer'; readonly instance?: string}
	| {readonly kind: 'run-timeout'; readonly limitMs: number; readonly cost: number}
	| {readonly kind: 'caller-left'}
	/** The target has ended a cancelled request. */
	| {readonly kind: 'cancelled'; readonly cost: number; readonly instance?: string};

/** How a request ended, for logs, metrics and its claim row. */
export type AttemptOutcome = 'answered' | 'refused' | 'broken' | 'unknown' | 'cancelled';

export type AttemptEffect =
	/** Claims the idempotency key. */
	| {readonly kind: 'claim'}
	/** Queues the request for a grant after the delay. */
	| {readonly kind: 'ask'; readonly delayMs: number; readonly retry?: RetryReason}
	/** Withdraws the queued request. */
	| {readonly kind: 'withdraw'}
	| {readonly kind: 'call'; readonly grant: Grant}
	/** Writes the first byte of the request. */
	| {readonly kind: 'write'}
	/** Drops the call before its first byte. */
	| {readonly kind: 'drop-call'}
	/** Cancels the request of a disconnected caller if the target supports it. Otherwise the target finishes the request. */
	| {readonly kind: 'cancel-call'}
	/** Closes a call that takes too long or whose target is unresponsive. */
	| {readonly kind: 'abandon-call'}
	/** Delivers the target's error response to the caller. */
	| {readonly kind: 'deliver-error'}
	| {readonly kind: 'end-grant'; readonly grant: Grant; readonly result: GrantResult}
	/** Sends the refusal to the caller, as an error event if chunks of a response have been delivered. */
	| {readonly kind: 'refuse'; readonly refusal: RefusalError}
	| {readonly kind: 'ended'; readonly outcome: AttemptOutcome; readonly ran: 'no' | 'yes' | 'unknown'};

export type AttemptStep = {
	readonly state: AttemptState;
	readonly effects: readonly AttemptEffect[];
};
