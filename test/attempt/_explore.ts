/** Model checker: sends every order of messages to the state machine of one request and checks the effects on each path. */
import {initialAttempt, type handleAttempt} from '../../src/core/attempt/attempt.js';
import {
	type AttemptEffect, type AttemptMessage, type AttemptSpec, type AttemptState,
} from '../../src/core/attempt/types.js';
import {type Grant} from '../../src/core/dispatch/types.js';
import {RefusalError} from '../../src/core/errors/refusal-error.js';
import {ClaimUnavailable, QueueFull} from '../../src/core/errors/refusals-data.js';

export const grant: Grant = {
	grantId: 'g', target: 't', address: '127.0.0.1:1', epoch: 1n, instance: '', expiresAtMs: 1000,
};

export const spec = (repeat: 'safe' | 'never', change: Partial<AttemptSpec> = {}): AttemptSpec => ({
	requestId: 'r', service: 's', repeat, startByMs: 10_000, needsClaim: repeat === 'never', takeRetry: () => true, random: () => 0.5, ...change,
});

const messages: readonly AttemptMessage[] = [
	{kind: 'claimed'},
	{kind: 'claim-refused', refusal: new RefusalError(ClaimUnavailable)},
	{kind: 'granted', grant},
	{kind: 'rejected', refusal: new RefusalError(QueueFull, {limit: 1})},
	{kind: 'writing', valid: true},
	{kind: 'writing', valid: false},
	{kind: 'declined', reason: 'overloaded'},
	{kind: 'declined', reason: 'fenced'},
	{kind: 'delivering'},
	{kind: 'answered', cost: 2},
	{kind: 'failed', reason: 'link-broken', cost: 0},
	{kind: 'run-timeout', limitMs: 5, cost: 0},
	{kind: 'caller-left'},
	{kind: 'vm-stopping'},
	{kind: 'cancelled', cost: 1},
];

/** Messages and effects of the current path, as far as the checks need them. */
type Trace = {
	/** Whether the idempotency key has been claimed. */
	readonly claimed: boolean;
	/** Number of requests for a grant that have no result yet. */
	readonly openRequests: number;
	/** Number of grants that have not been ended. */
	readonly openGrants: number;
	/** Whether the request may have run at a target. */
	readonly mayHaveRun: boolean;
	/** Whether a byte has been written and the target has not rejected the request before execution. */
	readonly sent: boolean;
	/** Number of refusals that were sent to the caller. */
	readonly refusals: number;
	/** Number of effects that ended the request. */
	readonly ended: number;
	readonly fault: string | undefined;
};

const firstTrace: Trace = {
	claimed: false, openRequests: 0, openGrants: 0, mayHaveRun: false, sent: false, refusals: 0, ended: 0, fault: undefined,
};

const afterMessage = (trace: Trace, message: AttemptMessage): Trace => {
	const {kind} = message;
	const openRequests = trace.openRequests - (kind === 'granted' || kind === 'rejected' ? 1 : 0);
	const lost = trace.sent && (kind === 'failed' || kind === 'run-timeout' || kind === 'vm-stopping');
	return {
		...trace,
		openRequests,
		claimed: trace.claimed || kind === 'claimed',
		openGrants: trace.openGrants + (kind === 'granted' ? 1 : 0),
		mayHaveRun: trace.mayHaveRun || lost,
		sent: trace.sent && kind !== 'declined' && !lost,
	};
};

/** Records a fault unless the path already has one. */
const recordFault = (trace: Trace, happened: boolean, fault: string): Trace =>
	happened && trace.fault === undefined ? {...trace, fault} : trace;

const afterWrite = (trace: Trace, attempt: AttemptSpec): Trace => {
	const isResent = attempt.repeat === 'never' && (trace.sent || trace.mayHaveRun);
	const unclaimed = attempt.needsClaim && !trace.claimed;
	return {...recordFault(recordFault(trace, isResent, 'sent twice'), unclaimed, 'sent without its key'), sent: true};
};

const afterEffect = (trace: Trace, effect: AttemptEffect, attempt: AttemptSpec): Trace => {
	const ran = trace.sent || trace.mayHaveRun;
	if (effect.kind === 'write') {
		return afterWrite(trace, attempt);
	}

	if (effect.kind === 'refuse') {
		return {...recordFault(trace, effect.refusal.notRun && ran, 'a false "not run"'), refusals: trace.refusals + 1};
	}

	if (effect.kind === 'ended') {
		return {...recordFault(trace, effect.ran === 'no' && ran, 'a key freed after a run'), ended: trace.ended + 1};
	}

	return {
		...trace,
		openRequests: trace.openRequests + (effect.kind === 'ask' ? 1 : 0),
		openGrants: trace.openGrants - (effect.kind === 'end-grant' ? 1 : 0),
	};
};

const faultOf = (state: AttemptState, trace: Trace): string | undefined => {
	if (trace.fault !== undefined) {
		return trace.fault;
	}

	if (trace.openGrants !== (state.grant ? 1 : 0)) {
		return 'a grant lost or ended twice';
	}

	if (trace.refusals > 1 || trace.ended > 1) {
		return 'ended twice';
	}

	return (state.kind === 'ended') === (trace.ended === 1) ? undefined : 'the state and the ended effect disagree';
};

/** Whether the message can arrive on this path now. */
const isPossible = (message: AttemptMessage, trace: Trace): boolean =>
	(message.kind !== 'granted' && message.kind !== 'rejected') || trace.openRequests > 0;

export type Exploration = {readonly states: number; readonly faults: ReadonlySet<string>};

/** Runs `handle` through all orders of up to `depth` messages. Equal states are visited once per remaining depth. */
export const explore = (handle: typeof handleAttempt, attempt: AttemptSpec, depth: number): Exploration => {
	const seen = new Set<string>();
	const faults = new Set<string>();
	const visit = (state: AttemptState, trace: Trace, message: AttemptMessage, remaining: number) => {
		const step = handle(state, message, attempt, 10);
		// The message is recorded before its effects, since it reports what has already happened.
		let after = afterMessage(trace, message);
		for (const effect of step.effects) {
			after = afterEffect(after, effect, attempt);
		}

		const fault = faultOf(step.state, after);
		if (fault !== undefined) {
			faults.add(fault);
			return;
		}

		const key = JSON.stringify([step.state.kind, step.state.delivering, step.state.callerDisconnected, step.state.mayHaveRun, step.state.retries, after, remaining]);
		if (remaining === 0 || seen.has(key)) {
			return;
		}

		seen.add(key);
		for (const next of messages.filter(item => isPossible(item, after))) {
			visit(step.state, after, next, remaining - 1);
		}
	};

	visit(initialAttempt, firstTrace, {kind: 'begin'}, depth);
	return {states: seen.size, faults};
};
