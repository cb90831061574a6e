import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {Agent} from 'undici';
import {type AttemptMessage} from '../../src/core/attempt/types.js';
import {type Grant, type Prompt} from '../../src/core/dispatch/types.js';
import {type PromptLoss, type LossCriteria} from '../../src/core/placement/prompt-loss.js';
import {type CallerResponse} from '../../src/runtime/entry/caller-response.js';
import {type Job} from '../../src/runtime/entry/job.js';
import {silentLog} from '../../src/runtime/observe/log.js';
import {createRecentSends} from '../../src/core/attempt/recent-sends.js';
import {createRelayCalls} from '../../src/runtime/routing/relay-call.js';
import {startWorksTarget} from '../../standins/works/works-target.js';
import {targetWire} from '../../platform/target-wire.js';

const LATENCY_TARGET_MS = 100;
const PROMPT: Prompt = {
	model: 'm', parts: [{id: 'own', tokens: 5000}], tokens: 5000, outputTokens: 100,
};
const LOST: PromptLoss = {
	reason: 'overtaken', sentForMs: 150, activityAgeMs: 10, overtakenForMs: 100,
};

const answer = new Proxy({}, {get: () => () => true}) as CallerResponse; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- no answer comes

const ignore = () => undefined;

type StartedCall = {readonly messages: readonly AttemptMessage[]; readonly limits: readonly LossCriteria[]; readonly startedMs: number};

/** A call to a target that never answers; `lossOf` is asked with the number of looks before. */
const startCall = async (t: ExecutionContext, lossOf: (checks: number) => PromptLoss | 'not-judged' | undefined, prompt?: Prompt): Promise<StartedCall> => {
	const target = await startWorksTarget({id: 't1', stream: true});
	target.failNext('silent');
	const agent = new Agent();
	const messages: AttemptMessage[] = [];
	const limits: LossCriteria[] = [];
	const startedMs = performance.now();
	const job: Job = {
		requestId: 'r1', team: 'team', service: 'tariff', mode: 'stream', costHint: undefined, prefixHash: undefined, idempotencyKey: undefined, arrivedMs: startedMs, startByMs: startedMs + 5000,
		serviceConfig: {
			kind: 'model', repeat: 'safe', maxRunMs: 5000, maxWaitMs: 5000, initialCost: 1, maxCost: 1,
		},
		request: {
			method: 'POST', path: '/', headers: {}, body: undefined,
		},
		route: {
			name: 'brief', maxTargets: 2, isResumable: true, endByMs: startedMs + 5000, callerWaitsUntilMs: startedMs + 5000, targetLatencyMs: LATENCY_TARGET_MS, patienceMs: 2000, ...(prompt && {prompt}),
		},
	};
	const grant: Grant = {
		grantId: 'g1', target: 't1', address: target.address, epoch: 0n, instance: 't1', expiresAtMs: Infinity,
	};
	const pool = () => agent.compose(dispatch => (options, handler) => dispatch({...options, origin: `http://${target.address}`}, handler));
	const call = createRelayCalls({
		wire: targetWire, pool, freshPool: pool, recentSends: createRecentSends(),
		clock: {nowMs: () => performance.now()}, log: silentLog, observe: ignore,
		lossWatch: {
			noteWritten: ignore,
			noteActivity: ignore,
			detectLoss(_, asked) {
				limits.push(asked);
				return lossOf(limits.length);
			},
		},
	})(job, answer)({
		grant, mayWrite: () => true, notify(message) {
			messages.push(message);
		},
	});
	call.start();
	t.teardown(async () => {
		call.abandon();
		await agent.destroy();
		await target.close();
	});
	return {messages, limits, startedMs};
};

test.serial('a prompt that has not begun to be answered is kept until it is lost', async t => {
	const {messages, limits, startedMs} = await startCall(t, checks => checks < 4 ? undefined : LOST, PROMPT);
	await delay(320);
	t.deepEqual(messages, [], 'it is not given up after 1.5 latency targets');
	while (messages.length === 0 && performance.now() < startedMs + 4000) {
		await delay(20); // eslint-disable-line no-await-in-loop
	}

	t.deepEqual(messages, [{kind: 'silent'}]);
	t.is(limits.length, 4);
	// The caller waits for 2 s; another engine would have a latency target of it.
	t.like(limits[0], {silenceMs: 150, retryDeadlineMs: startedMs + 2000 - LATENCY_TARGET_MS, isStream: true});
});

test.serial('a request without a prompt, or one that is not at a model engine, is given up after 1.5 latency targets', async t => {
	const plain = await startCall(t, () => undefined);
	const unknownTarget = await startCall(t, () => 'not-judged', PROMPT);
	await delay(500);
	t.deepEqual(plain.messages, [{kind: 'silent'}]);
	t.is(plain.limits.length, 0);
	t.deepEqual(unknownTarget.messages, [{kind: 'silent'}]);
});

test.serial('a stop of this process does not count as silence of an engine', async t => {
	const {messages, limits} = await startCall(t, checks => checks === 1 ? LOST : undefined, PROMPT);
	await delay(50);
	// The event loop stands still, as after a stop of the process.
	const endMs = performance.now() + 600;
	while (performance.now() < endMs) {
		// Nothing is read.
	}

	await delay(300);
	t.deepEqual(messages, [], 'what arrived meanwhile is read first');
	t.true(limits.length >= 2);
	t.true((limits.at(-1)?.resumedAtMs ?? 0) >= endMs);
});
