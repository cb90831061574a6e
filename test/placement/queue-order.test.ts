import test from 'ava';
import fc from 'fast-check';
import {rankByRendezvous} from '../../src/core/membership/rendezvous.js';
import {type PlacementEffect} from '../../src/core/placement/messages.js';
import {ServiceQueue, type Tier} from '../../src/core/placement/service-queue.js';
import {type PlacementRequest} from '../../src/core/placement/types.js';
import {
	createRequest, createPlacement, modelService, prompt, target,
} from './_service.js';

const vms = Array.from({length: 58}, (_, index) => `vm-${index + 1}`);

const createQueue = (isTiered = true): ServiceQueue => new ServiceQueue({
	isTiered: () => isTiered,
	inTimeShareOf: () => undefined,
	firstChunkMsOf: () => 0,
	costOf: ({prompt: ownPrompt}) => ownPrompt?.tokens ?? 1,
	usageOf: () => 0,
	random: () => 0.5,
});

/** Starts up to `maxStarts` of the requests that `fits` accepts; returns them with their tiers. */
const startAll = (queue: ServiceQueue, nowMs: number, {maxStarts = Infinity, fits = () => true}: {readonly maxStarts?: number; readonly fits?: (waiting: PlacementRequest) => boolean} = {}) => {
	const started: Array<{readonly request: PlacementRequest; readonly tier: Tier}> = [];
	queue.dispatch({
		usageCeiling: Infinity,
		isPaused: () => false,
		tryStart(waiting, tier) {
			if (started.length >= maxStarts || !fits(waiting)) {
				return false;
			}

			started.push({request: waiting, tier});
			queue.noteStarted(waiting, nowMs);
			return true;
		},
	}, nowMs);
	return started;
};

test('a small prompt is not blocked by large ones of its team that no target has capacity for', t => {
	// The engine has free memory only for a small prompt. The VM owns it, so it decides without messages.
	const placement = createPlacement({vm: rankByRendezvous('t1', vms)[0]!, vms, service: {...modelService, coldPerS: 0, engine: {slots: 64, kvCapacityTokens: 100_000, canCopyPrompts: true}}});
	placement.handle({kind: 'target', target: target('t1')}, 0);
	const isGranted = (effects: readonly PlacementEffect[], id: string) => effects.some(effect => effect.kind === 'grant' && effect.request.requestId === id);
	const first = createRequest('team', 0, {prompt: prompt('first', 40_000), targetLatencyMs: 10_000});
	const effects = placement.handle({kind: 'ask', request: first}, 0);
	t.true(isGranted(effects, first.requestId));
	const grantId = effects.find(effect => effect.kind === 'grant')?.grantId ?? '';
	for (let index = 0; index < 8; index++) {
		placement.handle({kind: 'ask', request: createRequest('team', 1, {prompt: prompt(`large-${index}`, 30_000), targetLatencyMs: 9000})}, 1);
	}

	placement.handle({
		kind: 'observe', grantId, target: 't1', observation: {kind: 'first-token'},
	}, 1000);
	const small = createRequest('team', 1001, {prompt: prompt('small', 5000), targetLatencyMs: 10_000});
	const later = [...placement.handle({kind: 'ask', request: small}, 1001), ...placement.handle({kind: 'tick'}, 1005)];
	t.true(isGranted(later, small.requestId));
	t.is(later.length, 1, 'the large ones still wait');
});

test('a dispatch round attempts few requests of a team, however many are queued', t => {
	const queue = createQueue();
	for (let index = 0; index < 500; index++) {
		queue.add(createRequest('team', 0, {prompt: prompt('s', 5000 + index)}), 0);
	}

	let tries = 0;
	startAll(queue, 5, {
		fits() {
			tries++;
			return false;
		},
	});
	t.true(tries <= 10, `${tries} tries`);
});

test('late requests are dispatched after those in time, and only when none of these is left', t => {
	const queue = createQueue();
	const late = createRequest('a', 0);
	queue.add(late, 700);
	const inTime = createRequest('b', 700);
	queue.add(inTime, 700);
	t.deepEqual(startAll(queue, 705, {fits: ({requestId}) => requestId === late.requestId}), []);
	t.deepEqual(startAll(queue, 710).map(({request: {requestId}, tier}) => [requestId, tier]), [[inTime.requestId, 'in-time'], [late.requestId, 'late']]);
});

test('within a team, a retry has precedence over new requests', t => {
	const queue = createQueue();
	const newRequest = createRequest('team', 100);
	const retry = {...createRequest('team', 101, {firstAttemptMs: -400}), deadlineMs: 9600};
	queue.add(newRequest, 101);
	queue.add(retry, 101);
	t.is(startAll(queue, 105)[0]?.request.requestId, retry.requestId);
	// Among late requests, the one with the earliest deadline has precedence.
	const lateNewRequest = createRequest('team', 100);
	queue.add(lateNewRequest, 1000);
	queue.add({...retry, requestId: 'late-back'}, 1000);
	t.is(startAll(queue, 1005)[0]?.request.requestId, 'late-back');
});

test('a reservation that is granted after the caller has given up is released', t => {
	const placement = createPlacement({vms, service: {...modelService, coldPerS: 0}});
	placement.handle({kind: 'target', target: target('t1')}, 0);
	const waiting = createRequest('team', 0, {prompt: prompt('s', 9000), callerLeavesMs: 2000});
	const [pendingReservation] = placement.handle({kind: 'ask', request: waiting}, 0).flatMap(effect => effect.kind === 'tell-peer' && effect.message.kind === 'request'
		? {vm: effect.vm, id: effect.message.wish.id}
		: []);
	// The process was paused meanwhile and handles the reply before the tick.
	const effects = placement.handle({
		kind: 'peer', from: pendingReservation?.vm ?? '', message: {
			kind: 'answer', id: pendingReservation?.id ?? '', answer: {
				target: 't1', isGranted: true, keptTokens: 0, retryAfterMs: 0, running: 0, readingTokens: 0, predictedMs: 10, startAfterMs: 0, queuedMs: 0, hasLine: false,
			},
		},
	}, 5000);
	t.like(effects, [{kind: 'tell-peer', message: {kind: 'progress', hasEnded: true}}]);
	t.like(placement.handle({kind: 'tick'}, 5005), [{kind: 'reject', reason: 'too-late'}]);
});

test('a VM with many late requests sends reservation requests at a bounded rate', t => {
	const placement = createPlacement({vms, service: {...modelService, coldPerS: 0}});
	placement.handle({kind: 'target', target: target('t1')}, 0);
	let reservationRequests = 0;
	/** Declines every reservation request. */
	const decline = (effects: readonly PlacementEffect[], nowMs: number): void => {
		for (const effect of effects) {
			if (effect.kind === 'tell-peer' && effect.message.kind === 'request') {
				reservationRequests++;
				decline(placement.handle({
					kind: 'peer', from: effect.vm, message: {
						kind: 'answer', id: effect.message.wish.id, answer: {
							target: 't1', isGranted: false, keptTokens: 0, retryAfterMs: 15, running: 20, readingTokens: 50_000, predictedMs: 900, startAfterMs: 0, queuedMs: 0, hasLine: false,
						},
					},
				}, nowMs), nowMs);
			}
		}
	};

	for (let index = 0; index < 60; index++) {
		decline(placement.handle({kind: 'ask', request: {...createRequest(`team-${index}`, 0, {prompt: prompt(`s${index}`, 5000)}), deadlineMs: 60_000}}, 900), 900);
	}

	t.true(placement.waitingByTier.late >= 30, `${placement.waitingByTier.late} wait`);
	reservationRequests = 0;
	for (let nowMs = 905; nowMs < 1405; nowMs += 5) {
		decline(placement.handle({kind: 'tick'}, nowMs), nowMs);
	}

	t.true(reservationRequests > 0 && reservationRequests <= 40, `${reservationRequests} reservation requests in half a second`);
});

type Step = {readonly kind: 'ask' | 'round' | 'wait' | 'withdraw'; readonly value: number};

const step: fc.Arbitrary<Step> = fc.record({kind: fc.constantFrom('ask', 'ask', 'round', 'wait', 'withdraw'), value: fc.nat({max: 999})});

/** A queue, and a model of it: the ids of the requests that should be queued. */
const createModel = (isTiered: boolean) => {
	const queue = createQueue(isTiered);
	const expected = new Set<string>();
	let nowMs = 0;
	const add = (value: number): void => {
		const request = {
			...createRequest(`team-${value % 5}`, nowMs, {
				targetLatencyMs: 100 + value, priority: value % 3, kind: `kind-${value % 4}`, ...(value % 2 === 0 && {callerLeavesMs: nowMs + 1000 + value}),
			}),
			deadlineMs: nowMs + 1500 + (value * 2),
		};
		if (!queue.admit(request, nowMs)) {
			expected.add(request.requestId);
		}
	};

	const expire = (): boolean => queue.expire(nowMs).every(({request: {requestId}}) => expected.delete(requestId));
	const round = (maxStarts: number): boolean => {
		const areExpiredExpected = expire();
		const started = startAll(queue, nowMs, {maxStarts});
		const areValid = started.every(({request: {requestId, deadlineMs, callerLeavesMs = Infinity}}) =>
			expected.delete(requestId) && nowMs < Math.min(deadlineMs, callerLeavesMs));
		const tiers = started.map(({tier}) => tier);
		return areExpiredExpected && areValid && !tiers.some((tier, index) => tier === 'late' && tiers.includes('in-time', index));
	};

	const withdraw = (value: number): void => {
		const id = [...expected][value % Math.max(1, expected.size)] ?? '';
		queue.remove(id);
		expected.delete(id);
	};

	return {
		/** Applies a step to the queue and the model; returns whether the invariants hold. */
		applyStep({kind, value}: Step): boolean {
			let holds = true;
			switch (kind) {
				case 'ask': {
					add(value);
					break;
				}

				case 'round': {
					holds = round(value % 4);
					break;
				}

				case 'wait': {
					nowMs += value;
					break;
				}

				case 'withdraw': {
					withdraw(value);
					break;
				}
			}

			return holds && queue.size === expected.size;
		},
		/** Returns whether all requests leave the queue in the end. */
		finish(): boolean {
			nowMs += 100_000;
			return expire() && expected.size === 0 && queue.isEmpty;
		},
	};
};

test('each request leaves the queue once, none starts after its caller has given up, and no late one is dispatched before one in time', t => {
	t.notThrows(() => {
		fc.assert(fc.property(fc.array(step, {maxLength: 200, size: 'max'}), fc.boolean(), (steps, isTiered) => {
			const model = createModel(isTiered);
			return steps.every(nextStep => model.applyStep(nextStep)) && model.finish();
		}), {seed: 11, numRuns: 500});
	});
});
