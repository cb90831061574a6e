/**
 * State machine of one request from its arrival to its end. A request is `queued` until it
 * has a grant: the permission to use one slot of one target. It is `granted` until just before
 * its first byte is written to the target, then `sent`. A refusal before `sent` reports "not
 * run": no target has executed the request. A request that may run at most once is not retried
 * after `sent`, unless the target rejected it before execution.
 */
import {type GrantResult} from '../dispatch/types.js';
import {RefusalError} from '../errors/refusal-error.js';
import {
	AnswerBroken, OutcomeUnknown, RunTimeout, TargetUnavailable, VmLeaving, type RefusalData,
} from '../errors/refusals-data.js';
import {
	type AttemptEffect, type AttemptMessage, type AttemptOutcome, type AttemptSpec, type AttemptState, type AttemptStep, type RetryReason,
} from './types.js';

/** Most times that one request is queued again. */
const MAX_RETRIES = 10;
/** First upper bound of the random delay before a request is queued again, and the value up to which that bound doubles, in milliseconds. */
const RETRY_BASE_MS = 20;
const RETRY_MAX_MS = 1000;
/**
 * Milliseconds for which a permit of the retry budget is valid. The budget counts retries in a
 * sliding window that moves on while the process is paused, so an old permit no longer counts in it.
 */
const RETRY_PERMIT_MS = 1000;
/** Times that a connection may break under a request before its answer has lasted. A request that may have ended as many targets is not sent to another. */
const MAX_EARLY_BREAKS = 2;
/** Retry delay in milliseconds that is returned to the caller when targets keep rejecting the request. */
const RETRY_AFTER_MS = 1000;

/** Retry delay in milliseconds that is returned to the caller when this VM stops: other VMs serve the request at once. */
const LEAVING_RETRY_AFTER_MS = 100;

export const initialAttempt: AttemptState = {
	kind: 'claiming', delivering: false, callerDisconnected: false, mayHaveRun: false, retries: 0, sends: 0, earlyBreaks: 0, hasErrorResponse: false,
};

type Message<Kind extends AttemptMessage['kind']> = Extract<AttemptMessage, {kind: Kind}>;
type Step = (state: AttemptState, spec: AttemptSpec, nowMs: number) => AttemptStep;

const withoutEffects = (state: AttemptState): AttemptStep => ({state, effects: []});

const withoutGrant = ({grant: _, sentAtMs: __, ...state}: AttemptState, kind: AttemptState['kind']): AttemptState => ({...state, kind});

const hasRun = (state: AttemptState, outcome: AttemptOutcome): 'no' | 'yes' | 'unknown' => {
	if (outcome === 'answered') {
		return 'yes';
	}

	return state.kind === 'sent' || state.mayHaveRun ? 'unknown' : 'no';
};

/** Returns the effect that ends the grant, if the request has one. Its result has the milliseconds since the first byte was written. */
const endGrant = (state: AttemptState, nowMs: number, result: Omit<GrantResult, 'answerMs'>): readonly AttemptEffect[] =>
	state.grant ? [{kind: 'end-grant', grant: state.grant, result: {...result, answerMs: nowMs - (state.sentAtMs ?? nowMs)}}] : [];

const unsentResult = {kind: 'unsent', cost: 0} as const;

const end = (state: AttemptState, outcome: AttemptOutcome, effects: readonly AttemptEffect[]): AttemptStep => ({
	state: withoutGrant(state, 'ended'),
	effects: [...effects, {kind: 'ended', outcome, ran: hasRun(state, outcome)}],
});

/** Replaces a refusal that reports "not run" by `AnswerBroken`, if an earlier attempt may have run. */
const withoutFalseNotRun = (state: AttemptState, refusal: RefusalError): RefusalError =>
	state.mayHaveRun && refusal.notRun
		? new RefusalError(AnswerBroken, {reason: refusal.data.title}, {...(refusal.retryAfterMs !== undefined && {retryAfterMs: refusal.retryAfterMs})})
		: refusal;

const outcomeOf = (refusal: RefusalError): AttemptOutcome => {
	if (refusal.notRun) {
		return 'refused';
	}

	return refusal.data.name === OutcomeUnknown.name ? 'unknown' : 'broken';
};

const refuse = (state: AttemptState, refusal: RefusalError, before: readonly AttemptEffect[]): AttemptStep => {
	const reported = withoutFalseNotRun(state, refusal);
	const notification: readonly AttemptEffect[] = state.callerDisconnected ? [] : [{kind: 'refuse', refusal: reported}];
	return end(state, outcomeOf(reported), [...before, ...notification]);
};

/** Returns a uniformly random delay below a bound that doubles with each retry. */
const retryDelayMs = (retries: number, random: () => number): number =>
	random() * Math.min(RETRY_MAX_MS, RETRY_BASE_MS * (2 ** retries));

/** Whether a retry for this reason was withdrawn from the retry budget. */
const usesRetryBudget = (reason: RetryReason, spec: AttemptSpec): boolean => {
	switch (reason) {
		case 'failed':
		case 'silent':
		case 'error-answer': {
			return true;
		}

		case 'overloaded':
		case 'fenced': {
			return spec.limitsDeclinedRetries === true;
		}

		case 'not-connected':
		case 'grant-expired': {
			return false;
		}
	}
};

/**
 * Queues the request for another grant, or refuses it at once when its retries or its time are
 * used up. No earlier call executed the request, unless `mayHaveRun` is set.
 */
const requeue = (reason: RetryReason, before: readonly AttemptEffect[]): Step => (state, spec, nowMs) => {
	const queued = withoutGrant(state, 'queued');
	if (state.callerDisconnected) {
		return end(queued, 'cancelled', before);
	}

	const delayMs = reason === 'grant-expired' ? 0 : retryDelayMs(state.retries, spec.random);
	if (state.retries >= MAX_RETRIES || nowMs + delayMs >= spec.startByMs) {
		return refuse(queued, new RefusalError(TargetUnavailable, {tries: state.retries + 1}, {retryAfterMs: RETRY_AFTER_MS}), before);
	}

	return {
		state: {...queued, retries: state.retries + 1, ...(usesRetryBudget(reason, spec) && {retryPermittedMs: nowMs})},
		effects: [...before, {kind: 'ask', delayMs, retry: reason}],
	};
};

/** Claims the idempotency key before the request is queued, so that no granted slot stays idle while a slow platform handles the claim. */
const onBegin = (state: AttemptState, spec: AttemptSpec): AttemptStep =>
	spec.needsClaim ? {state, effects: [{kind: 'claim'}]} : enqueue(state);

const enqueue = (state: AttemptState): AttemptStep =>
	state.kind === 'claiming' ? {state: {...state, kind: 'queued'}, effects: [{kind: 'ask', delayMs: 0}]} : withoutEffects(state);

const onGranted = (state: AttemptState, message: Message<'granted'>): AttemptStep => {
	const {grant} = message;
	return state.kind === 'queued'
		? {
			state: {
				...state, kind: 'granted', grant, hasErrorResponse: false,
			}, effects: [{kind: 'call', grant}],
		}
		: {state, effects: [{kind: 'end-grant', grant, result: {...unsentResult, answerMs: 0}}]};
};

const onWriting = (state: AttemptState, message: Message<'writing'>, spec: AttemptSpec, nowMs: number): AttemptStep => {
	if (state.kind !== 'granted') {
		return {state, effects: [{kind: 'drop-call'}]};
	}

	if (!message.valid) {
		return requeue('grant-expired', [{kind: 'drop-call'}, ...endGrant(state, nowMs, unsentResult)])(state, spec, nowMs);
	}

	const {retryPermittedMs, ...sent} = state;
	const hasPermitExpired = retryPermittedMs !== undefined && nowMs - retryPermittedMs > RETRY_PERMIT_MS;
	if (hasPermitExpired && !spec.takeRetry(nowMs)) {
		const before: readonly AttemptEffect[] = [{kind: 'drop-call'}, ...endGrant(state, nowMs, unsentResult)];
		return refuse(withoutGrant(state, 'queued'), new RefusalError(TargetUnavailable, {tries: state.retries}, {retryAfterMs: RETRY_AFTER_MS}), before);
	}

	return {
		state: {
			...sent, kind: 'sent', sentAtMs: nowMs, sends: state.sends + 1,
		}, effects: [{kind: 'write'}],
	};
};

const hasAttemptLeft = (state: AttemptState, spec: AttemptSpec): boolean => state.sends < (spec.maxTargets ?? Infinity);

const onDeclined = (state: AttemptState, message: Message<'declined'>, spec: AttemptSpec, nowMs: number): AttemptStep => {
	if (state.kind !== 'sent') {
		return withoutEffects(state);
	}

	const kind = message.reason === 'fenced' ? 'refused' : 'overloaded';
	// Only targets that may have run the request count towards `maxTargets`.
	const withoutThisSend = {...state, sends: state.sends - 1};
	const before = endGrant(state, nowMs, {kind, cost: 0, ...(message.instance && {instance: message.instance})});
	const isRetryAllowed = state.callerDisconnected || !spec.limitsDeclinedRetries || spec.takeRetry(nowMs);
	return isRetryAllowed
		? requeue(message.reason, before)(withoutThisSend, spec, nowMs)
		: refuse(withoutGrant(withoutThisSend, 'queued'), new RefusalError(TargetUnavailable, {tries: state.retries + 1}, {retryAfterMs: RETRY_AFTER_MS}), before);
};

/** Returns whether another target may run the request or resume its stream. If so, withdraws one retry from the budget. */
const mayRetry = (state: AttemptState, spec: AttemptSpec, nowMs: number): boolean =>
	spec.repeat === 'safe' && (!state.delivering || spec.isResumable === true) && hasAttemptLeft(state, spec) && state.earlyBreaks < MAX_EARLY_BREAKS && spec.takeRetry(nowMs);

/** Retries a request whose target sent an error response, if another target may run it. Otherwise delivers the error response to the caller. */
const onErrorAnswer = (state: AttemptState, message: Message<'error-answer'>, spec: AttemptSpec, nowMs: number): AttemptStep => {
	if (state.kind !== 'sent') {
		return withoutEffects(state);
	}

	const {instance} = message;
	const before = endGrant(state, nowMs, {kind: 'failed', cost: 0, ...(instance && {instance})});
	return !state.callerDisconnected && mayRetry(state, spec, nowMs)
		? requeue('error-answer', before)({...state, mayHaveRun: true, hasErrorResponse: true}, spec, nowMs)
		: end(state, 'answered', [...before, ...(state.callerDisconnected ? [] : [{kind: 'deliver-error'} as const])]);
};

/** Abandons the call to an unresponsive target and queues the request again, if it may be retried. Otherwise the call continues. */
const onSilent = (state: AttemptState, spec: AttemptSpec, nowMs: number): AttemptStep => {
	const isRetryAllowed = state.kind === 'sent' && !state.callerDisconnected && mayRetry(state, spec, nowMs);
	return isRetryAllowed
		? requeue('silent', [{kind: 'abandon-call'}, ...endGrant(state, nowMs, {kind: 'failed', cost: 0})])({...state, mayHaveRun: true}, spec, nowMs)
		: withoutEffects(state);
};

/** Ends a queued request that gets no grant. If a target sent an error response earlier, the caller gets that response instead of the refusal, since it has more information. */
const onRejected = (state: AttemptState, refusal: RefusalError): AttemptStep => {
	if (state.kind !== 'queued') {
		return withoutEffects(state);
	}

	return state.hasErrorResponse ? end(state, 'answered', [{kind: 'deliver-error'}]) : refuse(state, refusal, []);
};

const lostResponseRefusal = (state: AttemptState, spec: AttemptSpec, reason: string): RefusalError => {
	const data: RefusalData = spec.repeat === 'never' ? OutcomeUnknown : AnswerBroken;
	return new RefusalError(data, {reason: state.delivering ? `${reason} in mid-answer` : reason});
};

const onFailed = (state: AttemptState, message: Message<'failed'>, spec: AttemptSpec, nowMs: number): AttemptStep => {
	if (state.kind === 'granted') {
		return requeue('not-connected', endGrant(state, nowMs, unsentResult))(state, spec, nowMs);
	}

	if (state.kind !== 'sent') {
		return withoutEffects(state);
	}

	const {cost, instance} = message;
	const kind = state.callerDisconnected ? 'cancelled' : 'failed';
	const before = endGrant(state, nowMs, {kind, cost, ...(instance && {instance})});
	if (state.callerDisconnected) {
		return end(state, 'cancelled', before);
	}

	const isEarlyBreak = message.reason === 'link-broken' && message.hadLasted !== true;
	const broken = {...state, earlyBreaks: state.earlyBreaks + (isEarlyBreak ? 1 : 0)};
	// The response of another target would be as large.
	return message.reason !== 'too-large' && mayRetry(broken, spec, nowMs)
		? requeue('failed', before)({...broken, mayHaveRun: true}, spec, nowMs)
		: refuse(broken, lostResponseRefusal(broken, spec, message.reason), before);
};

const onRunTimeout = (state: AttemptState, message: Message<'run-timeout'>, spec: AttemptSpec, nowMs: number): AttemptStep => {
	if (state.kind !== 'sent') {
		return withoutEffects(state);
	}

	const before: readonly AttemptEffect[] = [{kind: 'abandon-call'}, ...endGrant(state, nowMs, {kind: 'failed', cost: message.cost})];
	const refusal = spec.repeat === 'never'
		? new RefusalError(OutcomeUnknown, {reason: `no answer within ${message.limitMs} ms`})
		: new RefusalError(RunTimeout, {limit: message.limitMs});
	return refuse(state, refusal, before);
};

/** Refuses a request that was not sent to a target. One that was sent has until the end of the process. */
const onVmLeaving = (state: AttemptState, nowMs: number): AttemptStep => {
	if ((state.kind !== 'queued' && state.kind !== 'granted') || state.sends > 0) {
		return withoutEffects(state);
	}

	const refusal = new RefusalError(VmLeaving, {}, {retryAfterMs: LEAVING_RETRY_AFTER_MS});
	return state.kind === 'queued'
		? refuse(state, refusal, [{kind: 'withdraw'}])
		: refuse(state, refusal, [{kind: 'drop-call'}, ...endGrant(state, nowMs, unsentResult)]);
};

/**
 * Ends a request of a process that is about to end. No later grant, retry or resumption could be
 * carried out, and the caller's connection would close as if a response without a length were complete.
 */
const onVmStopping = (state: AttemptState, spec: AttemptSpec, nowMs: number): AttemptStep => {
	const notSent = new RefusalError(VmLeaving, {}, {retryAfterMs: LEAVING_RETRY_AFTER_MS});
	switch (state.kind) {
		case 'claiming':
		case 'queued': {
			const withdraw = {kind: 'withdraw'} as const;
			return state.hasErrorResponse && !state.callerDisconnected
				? end(state, 'answered', [withdraw, {kind: 'deliver-error'}])
				: refuse(state, notSent, [withdraw]);
		}

		case 'granted': {
			return refuse(state, notSent, [{kind: 'drop-call'}, ...endGrant(state, nowMs, unsentResult)]);
		}

		case 'sent': {
			return refuse(state, lostResponseRefusal(state, spec, 'this VM was stopped'), [{kind: 'abandon-call'}, ...endGrant(state, nowMs, {kind: 'failed', cost: 0})]);
		}

		case 'ended': {
			return withoutEffects(state);
		}
	}
};

const onCallerDisconnected = (state: AttemptState, nowMs: number): AttemptStep => {
	const disconnected = {...state, callerDisconnected: true};
	switch (state.kind) {
		case 'claiming':
		case 'queued': {
			return end(disconnected, 'cancelled', [{kind: 'withdraw'}]);
		}

		case 'granted': {
			return end(disconnected, 'cancelled', [{kind: 'drop-call'}, ...endGrant(state, nowMs, unsentResult)]);
		}

		case 'sent': {
			return {state: disconnected, effects: [{kind: 'cancel-call'}]};
		}

		case 'ended': {
			return withoutEffects(state);
		}
	}
};

const onRunEnded = (state: AttemptState, message: Message<'answered' | 'cancelled'>, nowMs: number): AttemptStep => {
	if (state.kind !== 'sent') {
		return withoutEffects(state);
	}

	const {cost, instance, kind} = message;
	return end(state, kind, endGrant(state, nowMs, {kind, cost, ...(instance && {instance})}));
};

/**
 * Handles one message and returns the next state and the effects to carry out. An outdated
 * message, such as a response after the end of the request, has no effect. A grant that arrives
 * too late is ended unused.
 */
export const handleAttempt = (state: AttemptState, message: AttemptMessage, spec: AttemptSpec, nowMs: number): AttemptStep => {
	switch (message.kind) {
		case 'begin': {
			return onBegin(state, spec);
		}

		case 'vm-leaving': {
			return onVmLeaving(state, nowMs);
		}

		case 'vm-stopping': {
			return onVmStopping(state, spec, nowMs);
		}

		case 'claimed': {
			return enqueue(state);
		}

		case 'claim-refused': {
			return state.kind === 'claiming' ? refuse(state, message.refusal, []) : withoutEffects(state);
		}

		case 'granted': {
			return onGranted(state, message);
		}

		case 'rejected': {
			return onRejected(state, message.refusal);
		}

		case 'writing': {
			return onWriting(state, message, spec, nowMs);
		}

		case 'declined': {
			return onDeclined(state, message, spec, nowMs);
		}

		case 'delivering': {
			return state.kind === 'sent' ? withoutEffects({...state, delivering: true}) : withoutEffects(state);
		}

		case 'failed': {
			return onFailed(state, message, spec, nowMs);
		}

		case 'silent': {
			return onSilent(state, spec, nowMs);
		}

		case 'error-answer': {
			return onErrorAnswer(state, message, spec, nowMs);
		}

		case 'run-timeout': {
			return onRunTimeout(state, message, spec, nowMs);
		}

		case 'caller-left': {
			return onCallerDisconnected(state, nowMs);
		}

		case 'answered':
		case 'cancelled': {
			return onRunEnded(state, message, nowMs);
		}
	}
};
