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

/** Sends messages one millisecond apart and returns the last state and the kinds of all effects. */
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

test('a target that rejected the request before execution does not count towards the limit on targets', t => {
	const {kinds} = run([...first, {kind: 'declined', reason: 'overloaded'}, ...sent, broken, ...sent], spec());
	t.is(kinds.filter(kind => kind === 'write').length, 3);
});

test('without retry budget, a request that a target rejected before execution is refused as not run', t => {
	const {kinds} = run([...first, {kind: 'declined', reason: 'overloaded'}], spec({takeRetry: () => false}));
	t.true(kinds.includes('refuse TargetUnavailable'));
});

test('a broken stream is retried only where it may be resumed', t => {
	const messages: readonly AttemptMessage[] = [...first, {kind: 'delivering'}, broken];
	t.is(run(messages, spec({isResumable: true})).state.kind, 'queued');
	t.true(run(messages, spec()).kinds.includes('refuse AnswerBroken'));
});

test('when this VM stops too early for a request, it is refused as not run unless it was sent to a target', t => {
	const leaving: AttemptMessage = {kind: 'vm-leaving'};
	t.deepEqual(run([{kind: 'begin'}, leaving], spec()).kinds, ['ask', 'withdraw', 'refuse VmLeaving', 'ended']);
	t.deepEqual(run([{kind: 'begin'}, {kind: 'granted', grant}, leaving], spec()).kinds, ['ask', 'call', 'drop-call', 'end-grant', 'refuse VmLeaving', 'ended']);
	t.is(run([...first, leaving], spec()).state.kind, 'sent');
	t.is(run([...first, broken, leaving], spec()).state.kind, 'queued', 'it may have run and is repeated');
	t.true(run([...first, {kind: 'declined', reason: 'overloaded'}, leaving], spec()).kinds.includes('refuse VmLeaving'));
});

test('when the process is about to end, a request gets its final response in every state and is not queued again', t => {
	const stopping: readonly AttemptMessage[] = [{kind: 'vm-stopping'}, broken, {kind: 'granted', grant}];
	const endOf = (messages: readonly AttemptMessage[], changes: Partial<AttemptSpec> = {}): readonly string[] => {
		const {state, kinds} = run([...messages, ...stopping], spec({isResumable: true, ...changes}));
		t.is(state.kind, 'ended');
		return kinds.slice(run(messages, spec({isResumable: true, ...changes})).kinds.length);
	};

	t.snapshot({
		queued: endOf([{kind: 'begin'}]),
		granted: endOf([{kind: 'begin'}, {kind: 'granted', grant}]),
		sent: endOf(first),
		'sent, at most once': endOf(first, {repeat: 'never'}),
		'in mid-answer': endOf([...first, {kind: 'delivering'}]),
		'queued after a run': endOf([...first, broken]),
		'queued in mid-answer': endOf([...first, {kind: 'delivering'}, broken]),
		'queued after an error response': endOf([...first, {kind: 'error-answer'}]),
		'its caller has left': endOf([...first, {kind: 'caller-left'}]),
	});
});

test('an error response of a target is delivered when no other attempt is allowed', t => {
	const messages: readonly AttemptMessage[] = [...first, {kind: 'error-answer'}];
	t.is(run(messages, spec()).state.kind, 'queued');
	for (const changes of [{repeat: 'never'}, {takeRetry: () => false}, {maxTargets: 1}] as const) {
		const {state, kinds} = run(messages, spec(changes));
		t.is(state.kind, 'ended');
		t.true(kinds.includes('deliver-error'));
	}
});

test('the call to an unresponsive target is abandoned only for a request that may be retried', t => {
	const messages: readonly AttemptMessage[] = [...first, {kind: 'silent'}];
	t.true(run(messages, spec()).kinds.includes('abandon-call'));
	for (const changes of [{repeat: 'never'}, {takeRetry: () => false}, {maxTargets: 1}] as const) {
		t.is(run(messages, spec(changes)).state.kind, 'sent');
	}
});

test('a stream that stalls after its first chunk is abandoned only when it may be resumed', t => {
	const messages: readonly AttemptMessage[] = [...first, {kind: 'delivering'}, {kind: 'silent'}];
	t.true(run(messages, spec({isResumable: true})).kinds.includes('abandon-call'));
	t.is(run(messages, spec({isResumable: false})).state.kind, 'sent');
});

test('an error response of a target is delivered when no other target is found', t => {
	const {state, kinds} = run([...first, {kind: 'error-answer'}, {kind: 'rejected', refusal: new RefusalError(NoTarget, {service: 's'})}], spec());
	t.is(state.kind, 'ended');
	t.true(kinds.includes('deliver-error'));
	t.false(kinds.some(kind => kind.startsWith('refuse')));
});
