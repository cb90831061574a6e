import test from 'ava';
import {type PlacementEffect} from '../../src/core/placement/messages.js';
import {type PeerMessage} from '../../src/core/placement/peer-messages.js';
import {type ServicePlacement} from '../../src/core/placement/service-placement.js';
import {type Reservation, type ReservationAnswer} from '../../src/core/placement/reservation.js';
import {TargetLedger, type LedgerContext} from '../../src/core/placement/target-ledger.js';
import {prefixKeys} from '../../src/core/placement/prefix-cache-estimate.js';
import {ORDINARY_PRECEDENCE} from '../../src/core/placement/start-limits.js';
import {createTargetOwners} from '../../src/core/placement/target-owners.js';
import {runFleet, type FleetLoad} from './_fleet-model.js';
import {
	createRequest, createPlacement, modelService, prompt, target, outcomeOf,
} from './_service.js';

const vms = Array.from({length: 30}, (_, index) => `vm-${index}`);
const CAPACITY_TOKENS = 465_000;

const createLedger = (): TargetLedger => new TargetLedger('t1', {capacityTokens: () => CAPACITY_TOKENS, nowMs: 0});

const reservation = (id: string, tokens: number, changes: Partial<Reservation> = {}): Reservation => {
	const wantedPrompt = prompt(id, tokens);
	return {
		id, target: 't1', prompt: wantedPrompt, keys: prefixKeys(wantedPrompt), copiedTokens: 0, targetLatencyMs: 800, waitedMs: 0, isResumed: false, teamKey: 1, mayWait: false, ...ORDINARY_PRECEDENCE, ...changes,
	};
};

const ctx = (nowMs: number, changes: Partial<LedgerContext> = {}): LedgerContext => ({
	service: modelService, slots: 64, observedRunning: 0, slowdown: 1, isContended: false, mayStart: true, nowMs, ...changes,
});

const reserve = (ledger: TargetLedger, wish: Reservation, context: LedgerContext): ReservationAnswer => ledger.reserve(wish, context).answer;

test('a ledger admits what the engine can prefill in time, and returns when to retry the next request', t => {
	const ledger = createLedger();
	t.true(reserve(ledger, reservation('a', 15_000), ctx(0)).isGranted);
	const declined = reserve(ledger, reservation('b', 17_000), ctx(1));
	t.false(declined.isGranted);
	t.true(declined.retryAfterMs > 0);
	ledger.noteFirstToken('a', 320);
	t.true(reserve(ledger, reservation('b', 17_000), ctx(321)).isGranted);
});

test('a ledger knows what the engine has cached, and removes requests that ended', t => {
	const ledger = createLedger();
	reserve(ledger, reservation('a', 9000), ctx(0));
	ledger.noteFirstToken('a', 200);
	t.is(reserve(ledger, reservation('a', 9000, {id: 'again'}), ctx(300)).keptTokens, 4500);
	ledger.noteEnded('a', 400);
	ledger.noteEnded('again', 400);
	t.is(ledger.running, 0);
});

test('a new ledger counts the running requests that the target itself reports', t => {
	t.false(reserve(createLedger(), reservation('a', 5000), ctx(0, {observedRunning: 64})).isGranted);
	t.true(reserve(createLedger(), reservation('a', 5000), ctx(10_000, {observedRunning: 64})).isGranted);
});

test('a request of a restarted VM replaces the earlier request of that VM with the same id', t => {
	const ledger = createLedger();
	reserve(ledger, reservation('a', 9000), ctx(0));
	reserve(ledger, reservation('a', 9000), ctx(1));
	t.is(ledger.running, 1);
	ledger.noteEnded('a', 2);
	const {readingTokens} = reserve(ledger, reservation('b', 9000), ctx(2));
	t.true(readingTokens <= 9000);
});

const withTargets = (vm: string, isVmOverloaded = () => false): ServicePlacement => {
	const placement = createPlacement({
		vm, vms, service: {...modelService, coldPerS: 0}, isVmOverloaded,
	});
	for (const id of ['t1', 't2', 't3']) {
		placement.handle({kind: 'target', target: target(id)}, 0);
	}

	return placement;
};

const isPeerMessage = (effect: PlacementEffect | undefined): effect is Extract<PlacementEffect, {kind: 'tell-peer'}> => effect?.kind === 'tell-peer';

/** Returns a VM that requests a reservation from another one, with the effect that requests it. */
const requestingVm = (isVmOverloaded = () => false) => {
	for (const vm of vms) {
		const placement = withTargets(vm, isVmOverloaded);
		const pendingRequest = createRequest('team', 0, {prompt: prompt('subject', 9000)});
		const [effect] = placement.handle({kind: 'ask', request: pendingRequest}, 0);
		if (isPeerMessage(effect)) {
			return {placement, effect, pendingRequest};
		}
	}

	throw new Error('every VM owns its preferred target');
};

const grantWithWait = {
	target: 't1', isGranted: true, keptTokens: 0, retryAfterMs: 0, startAfterMs: 300, queuedMs: 0, hasLine: false, running: 0, readingTokens: 0, predictedMs: 10,
};

test('an overloaded VM places without reservations while no target has a line, and asks again after a second', t => {
	const {placement, effect} = requestingVm(() => true);
	const id = effect.message.kind === 'request' ? effect.message.wish.id : '';
	const grant = {...grantWithWait, target: outcomeOf(effect), startAfterMs: 0};
	placement.handle({kind: 'peer', from: effect.vm, message: {kind: 'answer', id, answer: grant}}, 4);
	const ask = (nowMs: number) => placement.handle({kind: 'ask', request: createRequest('team', nowMs, {prompt: prompt('subject', 5000)})}, nowMs)[0]?.kind;
	t.is(ask(10), 'grant');
	t.is(ask(1100), 'tell-peer', 'the last reply is old');
});

test('an overloaded VM requests reservations where targets have lines', t => {
	const {placement, effect} = requestingVm(() => true);
	const id = effect.message.kind === 'request' ? effect.message.wish.id : '';
	placement.handle({
		kind: 'peer', from: effect.vm, message: {
			kind: 'answer', id, answer: {
				...grantWithWait, target: outcomeOf(effect), startAfterMs: 0, hasLine: true,
			},
		},
	}, 4);
	const [next] = placement.handle({kind: 'ask', request: createRequest('team', 10, {prompt: prompt('subject', 5000)})}, 10);
	t.is(next?.kind, 'tell-peer');
});

test('when an owner does not reply, the VM places the request by its own figures, and two missed replies make the owner unresponsive, but one does not', t => {
	const {placement, effect} = requestingVm();
	t.deepEqual(placement.handle({kind: 'tick'}, 95), []);
	const [grant] = placement.handle({kind: 'tick'}, 100);
	t.is(grant && outcomeOf(grant), outcomeOf(effect));
	t.is(grant?.kind, 'grant');
	const [again] = placement.handle({kind: 'ask', request: createRequest('team', 110, {prompt: prompt('subject', 9000)})}, 110);
	t.like(again, {kind: 'tell-peer', vm: effect.vm});
	t.is(placement.handle({kind: 'tick'}, 210)[0]?.kind, 'grant');
	const [next] = placement.handle({kind: 'ask', request: createRequest('team', 220, {prompt: prompt('subject', 9000)})}, 220);
	t.true(next?.kind === 'grant' || (isPeerMessage(next) && next.vm !== effect.vm));
});

test('a late reply does not release the grant of a request that runs', t => {
	const {placement, effect} = requestingVm();
	const id = effect.message.kind === 'request' ? effect.message.wish.id : '';
	t.is(placement.handle({kind: 'tick'}, 100)[0]?.kind, 'grant');
	const late = replyOf(withTargets(effect.vm), effect, 'vm-x');
	t.deepEqual(placement.handle({kind: 'peer', from: effect.vm, message: late}, 160), []);
	const ended = placement.handle({
		kind: 'end', grantId: id, target: outcomeOf(effect), result: {kind: 'answered', cost: 0, answerMs: 1},
	}, 500);
	t.like(ended[0], {
		kind: 'tell-peer', vm: effect.vm, message: {kind: 'progress', id, hasEnded: true},
	});
});

test('the timeout of an owner follows its typical reply time, within bounds', t => {
	const owners = createTargetOwners(() => vms);
	t.is(owners.replyTimeoutMs('vm-1'), 100);
	for (let count = 0; count < 50; count++) {
		owners.noteReply('vm-1', 30);
		owners.noteReply('vm-2', 3000);
		owners.noteReply('vm-3', 1);
	}

	t.true(owners.replyTimeoutMs('vm-1') > 110 && owners.replyTimeoutMs('vm-1') < 125);
	t.is(owners.replyTimeoutMs('vm-2'), 150);
	t.is(owners.replyTimeoutMs('vm-3'), 60);
});

test('an owner that misses replies but sends messages keeps its ledgers; a dead one is skipped until its next message', t => {
	const owners = createTargetOwners(() => vms);
	const owner = owners.ownerOf('t1', 0) ?? '';
	owners.noteMessage(owner, 900);
	owners.noteMissedReply(owner, 1000);
	owners.noteMissedReply(owner, 1010);
	t.is(owners.ownerOf('t1', 1010), owner);
	owners.noteMissedReply(owner, 1300);
	t.not(owners.ownerOf('t1', 1300), owner);
	owners.noteMessage(owner, 1400);
	t.is(owners.ownerOf('t1', 1400), owner);
});

const replyOf = (owner: ServicePlacement, {message}: Extract<PlacementEffect, {kind: 'tell-peer'}>, from: string): PeerMessage => {
	const [answer] = owner.handle({kind: 'peer', from, message}, 2);
	if (!isPeerMessage(answer)) {
		throw new Error('the owner sent no reply');
	}

	return answer.message;
};

test('a granting reply starts the request, and its end is reported to the owner', t => {
	const {placement, effect} = requestingVm();
	const message = replyOf(withTargets(effect.vm), effect, 'vm-x');
	const [grant] = placement.handle({kind: 'peer', from: effect.vm, message}, 4);
	const grantId = grant?.kind === 'grant' ? grant.grantId : 'none';
	const ended = placement.handle({
		kind: 'end', grantId, target: grant ? outcomeOf(grant) : 'none', result: {kind: 'answered', cost: 0, answerMs: 1},
	}, 500);
	t.like(ended[0], {
		kind: 'tell-peer', vm: effect.vm, message: {kind: 'progress', id: grantId, hasEnded: true},
	});
	t.not(grantId, 'none');
});

test('the reservation of a withdrawn request is released, even when it is granted afterwards', t => {
	const {placement, effect, pendingRequest} = requestingVm();
	const message = replyOf(withTargets(effect.vm), effect, 'vm-x');
	t.like(placement.handle({kind: 'withdraw', requestId: pendingRequest.requestId}, 3)[0], {
		kind: 'tell-peer', vm: effect.vm, message: {kind: 'progress', hasEnded: true},
	});
	t.like(placement.handle({kind: 'peer', from: effect.vm, message}, 4)[0], {
		kind: 'tell-peer', vm: effect.vm, message: {kind: 'progress', hasEnded: true},
	});
});

const overload: Omit<FleetLoad, 'seed'> = {
	vms: 58,
	engines: 16,
	// About 1.3 times what the engines can prefill of these prompts.
	requestsPerS: 240,
	durationMs: 3000,
	latencyTargetMs: 800,
	promptOf: (draw, index) => ({
		model: 'm',
		parts: [{id: 'front', tokens: 8000}, {id: `subject-${Math.floor(draw * draw * 50)}`, tokens: 5000}, {id: `own-${index}`, tokens: 3700}],
		tokens: 16_700,
		outputTokens: 100,
	}),
};

test('many VMs with more prompts than the engines can prefill keep the engines busy, and make few requests late', t => {
	for (const seed of [1, 2, 3]) {
		const {submitted, inTime, late, utilization} = runFleet({...overload, seed});
		t.true(late <= submitted * 0.05, `seed ${seed}: ${late} of ${submitted} late`);
		t.true(utilization >= 0.8, `seed ${seed}: engines prefilled for ${utilization} of their time`);
		t.true(inTime >= submitted * 0.5, `seed ${seed}: ${inTime} of ${submitted} in time`);
	}
});

test('a prompt whose shared prefix is being prefilled waits for it, with its own capacity reserved', t => {
	const ledger = createLedger();
	const first = reserve(ledger, reservation('a', 9000), ctx(0));
	t.like(first, {isGranted: true, startAfterMs: 0});
	const second = reserve(ledger, reservation('a', 9000, {id: 'b'}), ctx(1));
	t.true(second.isGranted);
	// 9,000 tokens at 40 per millisecond, and the first decode step.
	t.true(second.startAfterMs > 245 && second.startAfterMs < 500, `${second.startAfterMs}`);
	t.is(second.readingTokens, 9000 + 4500, 'its own tokens take capacity, the shared ones are not counted twice');
	t.is(ledger.takeReleased(2).size, 0);
	ledger.noteFirstToken('a', 200);
	t.like(ledger.takeReleased(200).get('b'), {isGranted: true, startAfterMs: 0, keptTokens: 4500});
	t.is(ledger.takeReleased(200).size, 0);
});

test('when the request that prefills a prefix ends early, the next request prefills the prefix and the others wait for that request', t => {
	const ledger = createLedger();
	reserve(ledger, reservation('a', 6000), ctx(0));
	for (const id of ['b', 'c']) {
		t.true(reserve(ledger, reservation('a', 6000, {id, targetLatencyMs: 2000}), ctx(1)).startAfterMs > 0);
	}

	ledger.noteEnded('a', 50);
	t.deepEqual([...ledger.takeReleased(50).keys()], ['b']);
	t.is(reserve(ledger, reservation('other', 6000, {targetLatencyMs: 5000}), ctx(51)).readingTokens, 6000 + 1500 + 6000);
	ledger.noteEnded('b', 60);
	t.deepEqual([...ledger.takeReleased(60).keys()], ['c']);
});

test('a prompt that shares little with one that is being prefilled does not wait', t => {
	const ledger = createLedger();
	reserve(ledger, reservation('a', 6000), ctx(0));
	// The prompts share a prefix of 500 tokens.
	t.is(reserve(ledger, reservation('b', 6000, {targetLatencyMs: 2000}), ctx(1)).startAfterMs, 0);
});

test('a request that waits for a prefix is sent once when the owner releases it, even if messages are repeated', t => {
	const {placement, effect} = requestingVm();
	const id = effect.message.kind === 'request' ? effect.message.wish.id : '';
	const deliverReply = (startAfterMs: number, atMs: number) => placement.handle({
		kind: 'peer', from: effect.vm, message: {kind: 'answer', id, answer: {...grantWithWait, target: outcomeOf(effect), startAfterMs}},
	}, atMs);
	t.deepEqual(deliverReply(300, 4), []);
	t.deepEqual(deliverReply(300, 5), [], 'a repeated datagram has no effect');
	t.deepEqual(placement.handle({kind: 'tick'}, 60), [], 'the reply timeout does not apply, since the owner has replied');
	t.is(deliverReply(0, 100)[0]?.kind, 'grant');
	t.deepEqual(deliverReply(0, 101), [], 'a grant that is in use is not released');
	t.deepEqual(placement.handle({kind: 'tick'}, 400), []);
});

test('a request that waits for a prefix is sent without a message once the prefix should be prefilled, in case its owner died', t => {
	const {placement, effect, pendingRequest} = requestingVm();
	const id = effect.message.kind === 'request' ? effect.message.wish.id : '';
	placement.handle({
		kind: 'peer', from: effect.vm, message: {kind: 'answer', id, answer: {...grantWithWait, target: outcomeOf(effect)}},
	}, 4);
	t.deepEqual(placement.handle({kind: 'tick'}, 303), []);
	const [grant] = placement.handle({kind: 'tick'}, 304);
	t.like(grant, {kind: 'grant', grantId: id, request: {requestId: pendingRequest.requestId}});
});

test('an owner replies after it has restarted, and ignores the progress of grants from before', t => {
	const {placement, effect} = requestingVm();
	const id = effect.message.kind === 'request' ? effect.message.wish.id : '';
	const owner = withTargets(effect.vm);
	for (const hasEnded of [false, true]) {
		t.deepEqual(owner.handle({
			kind: 'peer', from: 'vm-x', message: {
				kind: 'progress', id, target: outcomeOf(effect), hasEnded,
			},
		}, 1), []);
	}

	const message = replyOf(owner, effect, 'vm-x');
	t.like(message, {
		kind: 'answer', answer: {
			isGranted: true, startAfterMs: 0, queuedMs: 0, hasLine: false, running: 0,
		},
	});
	t.is(placement.handle({kind: 'peer', from: effect.vm, message}, 4)[0]?.kind, 'grant');
});

test('the reservation of a request that waits for a prefix is released when its caller disconnects', t => {
	const {placement, effect, pendingRequest} = requestingVm();
	const id = effect.message.kind === 'request' ? effect.message.wish.id : '';
	placement.handle({
		kind: 'peer', from: effect.vm, message: {kind: 'answer', id, answer: {...grantWithWait, target: outcomeOf(effect)}},
	}, 4);
	t.like(placement.handle({kind: 'withdraw', requestId: pendingRequest.requestId}, 50)[0], {
		kind: 'tell-peer', vm: effect.vm, message: {kind: 'progress', id, hasEnded: true},
	});
	t.deepEqual(placement.handle({kind: 'tick'}, 400), []);
});

const teamBursts: Omit<FleetLoad, 'seed'> = {
	vms: 58,
	engines: 16,
	requestsPerS: 200,
	durationMs: 3000,
	latencyTargetMs: 800,
	// Eight requests within 40 ms share each subject, which does not occur again.
	promptOf: (draw, index) => ({
		model: 'm',
		parts: [{id: 'front', tokens: 1000}, {id: `subject-${Math.floor(index / 8)}`, tokens: 8000}, {id: `own-${index}`, tokens: 1500 + Math.floor(draw * 1000)}],
		tokens: 11_000,
		outputTokens: 100,
	}),
};

test('prompts of one subject that come together wait for its prefill, and most of them are in time', t => {
	for (const seed of [1, 2, 3]) {
		const {submitted, inTime, late, prefilledTokens, prefilledInParallel} = runFleet({...teamBursts, seed});
		t.true(inTime >= submitted * 0.62, `seed ${seed}: ${inTime} of ${submitted} in time`);
		t.true(late <= submitted * 0.02, `seed ${seed}: ${late} of ${submitted} late`);
		t.true(prefilledInParallel <= prefilledTokens * 0.52, `seed ${seed}: ${prefilledInParallel} of ${prefilledTokens} tokens were being prefilled already`);
	}
});

/** Returns the milliseconds by which a VM handles a message late. A third of the VMs has a third of a CPU, and its event-loop iterations are 25 ms late on average; those of the other VMs are 4 ms late. */
const lagMs = (vm: number, draw: number): number => -Math.log(1 - draw) * (vm % 3 === 0 ? 25 : 4);

test('VMs that handle messages late agree on one ledger for each engine, and send few messages', t => {
	for (const seed of [1, 2, 3]) {
		const {submitted, inTime, late, messages} = runFleet({...overload, seed, lagMs});
		t.true(inTime >= submitted * 0.68, `seed ${seed}: ${inTime} of ${submitted} in time`);
		t.true(late <= submitted * 0.02, `seed ${seed}: ${late} of ${submitted} late`);
		t.true(messages <= submitted * 7, `seed ${seed}: ${messages} messages for ${submitted} requests`);
	}
});

test('when owners die, other VMs keep new ledgers for their engines', t => {
	for (const seed of [1, 2, 3]) {
		const {submitted, inTime, late} = runFleet({
			...overload, seed, lagMs, diesAtMs: vm => vm % 8 === 1 ? 1000 : Infinity,
		});
		t.true(inTime >= submitted * 0.6, `seed ${seed}: ${inTime} of ${submitted} in time`);
		t.true(late <= submitted * 0.05, `seed ${seed}: ${late} of ${submitted} late`);
	}
});

test('engines that are 2.5 times slower for some hundred milliseconds receive only what they can start in time', t => {
	const runs = [1, 2, 3].map(seed => runFleet({
		...overload,
		seed,
		requestsPerS: 170,
		slowdownOf: (engine, nowMs) => ((Math.floor(nowMs / 300) * 7) + (engine * 5)) % 3 === 0 ? 2.5 : 1,
		promptOf: (draw, index) => ({
			model: 'm',
			parts: [{id: 'front', tokens: 8000}, {id: `subject-${Math.floor(draw * draw * 50)}`, tokens: 2000}, {id: `own-${index}`, tokens: 3700}],
			tokens: 13_700,
			outputTokens: 100,
		}),
	}));
	const [inTime, late] = [runs.reduce((sum, run) => sum + run.inTime, 0), runs.reduce((sum, run) => sum + run.late, 0)];
	t.true(inTime >= 1110, `${inTime} of 1,530 in time`);
	t.true(late <= 35, `${late} of 1,530 late`);
});

test('reservations that are granted at the same moment do not exceed the request rate of a cold target', t => {
	let sent = 0;
	let requested = 0;
	for (const vm of vms) {
		const placement = createPlacement({vm, vms});
		placement.handle({kind: 'target', target: target('t1', {coldRemainingMs: 60_000})}, 0);
		const effects = Array.from({length: 12}, () => placement.handle({kind: 'ask', request: createRequest('team', 0, {prompt: prompt('subject', 5000)})}, 0)).flat();
		const ids = effects.flatMap(effect => isPeerMessage(effect) && effect.message.kind === 'request' ? [effect.message.wish.id] : []);
		requested += ids.length;
		const later = ids.flatMap((id, index) => placement.handle({
			kind: 'peer', from: 'vm-x', message: {
				kind: 'answer', id, answer: {
					target: 't1', isGranted: true, keptTokens: 0, retryAfterMs: 0, startAfterMs: 0, queuedMs: 0, hasLine: false, running: 0, readingTokens: 0, predictedMs: 10,
				},
			},
		}, 2 + index));
		sent += [...effects, ...later].filter(({kind}) => kind === 'grant').length;
	}

	t.true(requested > 20, `${requested} reservations requested`);
	// The target sustains 10 requests per second. The fleet bounds allow 1.5 times as many, plus 5.
	t.true(sent <= 20, `${sent} sent in one second`);
});

test('a request in line whose target leaves is offered to others at once, and its owner is not taken for dead', t => {
	const {placement, effect} = requestingVm();
	const id = effect.message.kind === 'request' ? effect.message.wish.id : '';
	const line = {
		...grantWithWait, target: outcomeOf(effect), isGranted: false, startAfterMs: 0, queuedMs: 400, hasLine: true,
	};
	t.deepEqual(placement.handle({kind: 'peer', from: effect.vm, message: {kind: 'answer', id, answer: line}}, 4), []);
	t.deepEqual(placement.handle({kind: 'tick'}, 200), [], 'the reply timeout does not apply, since the owner has replied');
	placement.handle({kind: 'target-gone', id: outcomeOf(effect)}, 210);
	const effects = placement.handle({kind: 'tick'}, 215);
	t.like(effects.find(({kind}) => kind === 'tell-peer'), {vm: effect.vm, message: {kind: 'progress', id, hasEnded: true}});
	const moved = effects.find(next => (next.kind === 'tell-peer' && next.message.kind === 'request') || next.kind === 'grant');
	t.not(moved, undefined);
	t.not(moved && outcomeOf(moved), outcomeOf(effect));
});
