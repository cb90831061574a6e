import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {Agent} from 'undici';
import {type AttemptMessage} from '../../src/core/attempt/types.js';
import {type Grant, type Prompt} from '../../src/core/dispatch/types.js';
import {type PromptLoss, type LossCriteria} from '../../src/core/placement/prompt-loss.js';
import {type CallerResponse} from '../../src/runtime/entry/caller-response.js';
import {type Job} from '../../src/runtime/entry/job.js';
import {createInputAge} from '../../src/runtime/observe/input-age.js';
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

const callerResponse = new Proxy({}, {get: () => () => true}) as CallerResponse; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the target never responds

const ignore = () => undefined;

type StartedCall = {readonly messages: readonly AttemptMessage[]; readonly limits: readonly LossCriteria[]; readonly startMs: number};

/** Starts a call to a target that never responds. `lossOf` maps the number of loss checks so far to the result of the latest one. */
const startCall = async (t: ExecutionContext, lossOf: (checks: number) => PromptLoss | 'not-judged' | undefined, prompt?: Prompt): Promise<StartedCall> => {
	const target = await startWorksTarget({id: 't1', stream: true});
	target.injectFaults('silent');
	const agent = new Agent();
	const messages: AttemptMessage[] = [];
	const limits: LossCriteria[] = [];
	const startMs = performance.now();
	const job: Job = {
		requestId: 'r1', team: 'team', service: 'tariff', mode: 'stream', costHint: undefined, prefixHash: undefined, idempotencyKey: undefined, arrivedMs: startMs, startByMs: startMs + 5000,
		serviceConfig: {
			kind: 'model', repeat: 'safe', maxRunMs: 5000, maxWaitMs: 5000, initialCost: 1, maxCost: 1,
		},
		request: {
			method: 'POST', path: '/', headers: {}, body: undefined,
		},
		route: {
			name: 'brief', maxTargets: 2, isResumable: true, endByMs: startMs + 5000, callerWaitsUntilMs: startMs + 5000, targetLatencyMs: LATENCY_TARGET_MS, patienceMs: 2000, ...(prompt && {prompt}),
		},
	};
	const grant: Grant = {
		grantId: 'g1', target: 't1', address: target.address, epoch: 0n, instance: 't1', expiresAtMs: Infinity,
	};
	const clock = {nowMs: () => performance.now()};
	const pool = () => agent.compose(dispatch => (options, handler) => dispatch({...options, origin: `http://${target.address}`}, handler));
	const call = createRelayCalls({
		wire: targetWire, pool, freshPool: pool, recentSends: createRecentSends(),
		clock, inputAge: createInputAge(clock), log: silentLog, observe: ignore,
		lossWatch: {
			noteWritten: ignore,
			noteActivity: ignore,
			detectLoss(_, criteria) {
				limits.push(criteria);
				return lossOf(limits.length);
			},
		},
		promptWatch: {
			bornMs: () => 0, noteAnswered: ignore, noteBroke: ignore, noteClosed: ignore, noteAlive: ignore,
		},
	})(job, callerResponse)({
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
	return {messages, limits, startMs};
};

test.serial('a prompt without a response is not reported as silent until it counts as lost', async t => {
	const {messages, limits, startMs} = await startCall(t, checks => checks < 4 ? undefined : LOST, PROMPT);
	await delay(320);
	t.deepEqual(messages, [], 'it is not reported after 1.5 latency targets');
	while (messages.length === 0 && performance.now() < startMs + 4000) {
		await delay(20); // eslint-disable-line no-await-in-loop
	}

	t.deepEqual(messages, [{kind: 'silent'}]);
	t.is(limits.length, 4);
	// The caller waits for 2 s. A retry has to be sent at least one latency target before the end of that time.
	t.like(limits[0], {silenceMs: 150, retryDeadlineMs: startMs + 2000 - LATENCY_TARGET_MS, isStream: true});
});

test.serial('a request without a prompt, or one that is not at a model engine, is reported as silent after 1.5 latency targets', async t => {
	const plain = await startCall(t, () => undefined);
	const unknownTarget = await startCall(t, () => 'not-judged', PROMPT);
	await delay(500);
	t.deepEqual(plain.messages, [{kind: 'silent'}]);
	t.is(plain.limits.length, 0);
	t.deepEqual(unknownTarget.messages, [{kind: 'silent'}]);
});

test.serial('a pause of this process does not count as inactivity of an engine', async t => {
	const {messages, limits} = await startCall(t, checks => checks === 1 ? LOST : undefined, PROMPT);
	await delay(50);
	// Blocks the event loop, as a pause of the process would.
	const endMs = performance.now() + 600;
	while (performance.now() < endMs) {
		// No data is read meanwhile.
	}

	await delay(300);
	t.deepEqual(messages, [], 'data that arrived meanwhile is read first');
	t.true(limits.length >= 2);
	t.true((limits.at(-1)?.resumedAtMs ?? 0) >= endMs);
});
