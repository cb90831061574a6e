import test from 'ava';
import {handleAttempt, initialAttempt} from '../../src/core/attempt/attempt.js';
import {type AttemptMessage, type AttemptSpec, type AttemptState} from '../../src/core/attempt/types.js';
import {type Grant} from '../../src/core/dispatch/types.js';
import {RefusalError} from '../../src/core/errors/refusal-error.js';
import {NoTarget} from '../../src/core/errors/refusals-data.js';

const grant: Grant = {
	grantId: 'g', target: 't', address: '127.0.0.1:1', epoch: 0n, instance: 't', expiresAtMs: 1000,
};

const spec = (changes: Partial<AttemptSpec> = {}): AttemptSpec => ({
	requestId: 'r', service: 's', repeat: 'safe', startByMs: 10_000, needsClaim: false, takeRetry: () => true, random: () => 0, maxTargets: 2, limitsDeclinedRetries: true, ...changes,
});

/** Feeds messages one millisecond apart; returns the last state and all kinds of effects. */
const run = (messages: readonly AttemptMessage[], attempt: AttemptSpec): {readonly state: AttemptState; readonly kinds: readonly string[]} => {
	let state: AttemptState = initialAttempt;
	const kinds: string[] = [];
	for (const [nowMs, message] of messages.entries()) {
		const step = handleAttempt(state, message, attempt, nowMs);
		state = step.state;
		kinds.push(...step.effects.map(effect => effect.kind === 'refuse' ? `refuse ${effect.refusal.data.name}` : effect.kind));
	}

	return {state, kinds};
};

const sent: readonly AttemptMessage[] = [{kind: 'granted', grant}, {kind: 'writing', valid: true}];
const first: readonly AttemptMessage[] = [{kind: 'begin'}, ...sent];
const broken: AttemptMessage = {kind: 'failed', reason: 'link-broken', cost: 0};

test('a request runs on no more targets than its route allows', t => {
	const {kinds} = run([...first, broken, ...sent, broken], spec());
	t.is(kinds.filter(kind => kind === 'write').length, 2);
	t.true(kinds.includes('refuse AnswerBroken'));
});

test('a target that ran nothing does not count', t => {
	const {kinds} = run([...first, {kind: 'declined', reason: 'overloaded'}, ...sent, broken, ...sent], spec());
	t.is(kinds.filter(kind => kind === 'write').length, 3);
});

test('without budget what was declined is refused as not run', t => {
	const {kinds} = run([...first, {kind: 'declined', reason: 'overloaded'}], spec({takeRetry: () => false}));
	t.true(kinds.includes('refuse TargetUnavailable'));
});

test('a stream that broke goes on only where it may be resumed', t => {
	const messages: readonly AttemptMessage[] = [...first, {kind: 'delivering'}, broken];
	t.is(run(messages, spec({isResumable: true})).state.kind, 'queued');
	t.true(run(messages, spec()).kinds.includes('refuse AnswerBroken'));
});

test('a failure that a target answered is passed on when nothing else may be tried', t => {
	const messages: readonly AttemptMessage[] = [...first, {kind: 'error-answer'}];
	t.is(run(messages, spec()).state.kind, 'queued');
	for (const changes of [{repeat: 'never'}, {takeRetry: () => false}, {maxTargets: 1}] as const) {
		const {state, kinds} = run(messages, spec(changes));
		t.is(state.kind, 'ended');
		t.true(kinds.includes('deliver-error'));
	}
});

test('a silent target is left only for a request that may be repeated', t => {
	const messages: readonly AttemptMessage[] = [...first, {kind: 'silent'}];
	t.true(run(messages, spec()).kinds.includes('abandon-call'));
	for (const changes of [{repeat: 'never'}, {takeRetry: () => false}, {maxTargets: 1}] as const) {
		t.is(run(messages, spec(changes)).state.kind, 'sent');
	}
});

test('a stream that pauses in the middle is left only when it may be resumed', t => {
	const messages: readonly AttemptMessage[] = [...first, {kind: 'delivering'}, {kind: 'silent'}];
	t.true(run(messages, spec({isResumable: true})).kinds.includes('abandon-call'));
	t.is(run(messages, spec({isResumable: false})).state.kind, 'sent');
});

test('a failure that a target answered is passed on when no other target is found', t => {
	const {state, kinds} = run([...first, {kind: 'error-answer'}, {kind: 'rejected', refusal: new RefusalError(NoTarget, {service: 's'})}], spec());
	t.is(state.kind, 'ended');
	t.true(kinds.includes('deliver-error'));
	t.false(kinds.some(kind => kind.startsWith('refuse')));
});
