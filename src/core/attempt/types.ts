/** States, messages and effects of one request on its way to a target. */
import {type Grant, type GrantResult} from '../dispatch/types.js';
import {type RefusalError} from '../errors/refusal-error.js';

/** What stays the same for one request. Functions are passed so that decisions stay pure. */
export type AttemptSpec = {
	readonly requestId: string;
	readonly service: string;
	/** `never`: the request may run at most once. */
	readonly repeat: 'safe' | 'never';
	/** Monotonic milliseconds by which the request must have started. */
	readonly startByMs: number;
	/** Whether an idempotency key has to be claimed before the first byte. */
	readonly needsClaim: boolean;
	/** Takes one retry from the VM's budget. */
	readonly takeRetry: (nowMs: number) => boolean;
	/** Uniform in [0, 1). */
	readonly random: () => number;
	/** Targets that the request may be sent to; unlimited if absent. */
	readonly maxTargets?: number;
	/** Whether a repeat of what a target declined also takes from the budget. */
	readonly limitsDeclinedRetries?: boolean;
	/** Whether a stream that broke after its first part may go on at another target. */
	readonly isResumable?: boolean;
};

/** Why a request is asked for again. */
export type RetryReason = 'overloaded' | 'fenced' | 'not-connected' | 'grant-expired' | 'failed' | 'silent' | 'error-answer';

/** Why an answer of a target was not used. */
export type FaultReason = 'link-broken' | 'unidentified' | 'crossed' | 'malformed' | 'stalled' | 'too-large' | 'error-answer';

export type AttemptState = {
	/** `claiming`: its idempotency key is being claimed; it holds no place in a queue yet. */
	readonly kind: 'claiming' | 'queued' | 'granted' | 'sent' | 'ended';
	/** Present from `granted` until the grant is ended. */
	readonly grant?: Grant;
	readonly sentAtMs?: number;
	/** True once part of an answer went to the caller. */
	readonly delivering: boolean;
	/** True when the caller has closed the connection. */
	readonly callerDisconnected: boolean;
	/** True once a call that was sent has failed and the request was asked for again. */
	readonly mayHaveRun: boolean;
	/** Asks made after the first one. */
	readonly retries: number;
	/** When the budget allowed the repeat that has not been sent yet, if it was asked. */
	readonly retryPermittedMs?: number;
	/** Whether a failure that a target answered is at hand while another target is looked for. */
	readonly hasErrorResponse: boolean;
	/** Times that a first byte went to a target. */
	readonly sends: number;
};

export type AttemptMessage =
	| {readonly kind: 'begin'}
	| {readonly kind: 'claimed'}
	| {readonly kind: 'claim-refused'; readonly refusal: RefusalError}
	| {readonly kind: 'granted'; readonly grant: Grant}
	| {readonly kind: 'rejected'; readonly refusal: RefusalError}
	/** A connection is there and the first byte is about to be written. */
	| {readonly kind: 'writing'; readonly valid: boolean}
	/** The target answered that it ran nothing. */
	| {readonly kind: 'declined'; readonly reason: 'overloaded' | 'fenced'; readonly instance?: string}
	/** Part of the answer goes to the caller. */
	| {readonly kind: 'delivering'}
	| {readonly kind: 'answered'; readonly cost: number; readonly instance?: string}
	/** The call ended without a usable answer. Cost is that of what arrived. */
	| {readonly kind: 'failed'; readonly reason: FaultReason; readonly cost: number; readonly instance?: string}
	/** The target has not begun to answer for longer than usual. */
	| {readonly kind: 'silent'}
	/** The target answered whole, but with a failure of its own that may pass. */
	| {readonly kind: 'error-answer'; readonly instance?: string}
	| {readonly kind: 'run-timeout'; readonly limitMs: number; readonly cost: number}
	| {readonly kind: 'caller-left'}
	/** A cancelled run has ended at the target. */
	| {readonly kind: 'cancelled'; readonly cost: number; readonly instance?: string};

/** How a request ended, for logs, metrics and the record of its idempotency key. */
export type AttemptOutcome = 'answered' | 'refused' | 'broken' | 'unknown' | 'cancelled';

export type AttemptEffect =
	| {readonly kind: 'claim'}
	| {readonly kind: 'ask'; readonly delayMs: number; readonly retry?: RetryReason}
	| {readonly kind: 'withdraw'}
	| {readonly kind: 'call'; readonly grant: Grant}
	/** Lets the first byte out. */
	| {readonly kind: 'write'}
	/** Drops the call before its first byte. */
	| {readonly kind: 'drop-call'}
	/** The caller has left: cancels the run where the target can, else lets it end. */
	| {readonly kind: 'cancel-call'}
	/** Gives up a run that takes too long. */
	| {readonly kind: 'abandon-call'}
	/** Gives the caller the target's own failure. */
	| {readonly kind: 'deliver-error'}
	| {readonly kind: 'end-grant'; readonly grant: Grant; readonly result: GrantResult}
	/** Tells the caller; as an error event if part of an answer went out. */
	| {readonly kind: 'refuse'; readonly refusal: RefusalError}
	| {readonly kind: 'ended'; readonly outcome: AttemptOutcome; readonly ran: 'no' | 'yes' | 'unknown'};

export type AttemptStep = {
	readonly state: AttemptState;
	readonly effects: readonly AttemptEffect[];
};
