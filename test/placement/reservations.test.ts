import test from 'ava';
import {type PlacementEffect} from '../../src/core/placement/messages.js';
import {type PeerMessage} from '../../src/core/placement/reservations.js';
import {type ServicePlacement} from '../../src/core/placement/service-placement.js';
import {TargetLedger, type LedgerContext, type Reservation} from '../../src/core/placement/target-ledger.js';
import {prefixKeys} from '../../src/core/placement/prefix-cache-estimate.js';
import {createTargetOwners} from '../../src/core/placement/target-owners.js';
import {runFleet, type FleetLoad} from './_fleet-model.js';
import {
	createRequest, createPlacement, modelService, prompt, target, outcomeOf,
} from './_service.js';

const vms = Array.from({length: 30}, (_, index) => `vm-${index}`);
const CAPACITY_TOKENS = 465_000;

const createLedger = (): TargetLedger => new TargetLedger('t1', {capacityTokens: () => CAPACITY_TOKENS, nowMs: 0});

const wish = (id: string, tokens: number, changes: Partial<Reservation> = {}): Reservation => {
	const wished = prompt(id, tokens);
	return {
		id, target: 't1', prompt: wished, keys: prefixKeys(wished), copiedTokens: 0, targetLatencyMs: 800, waitedMs: 0, givesWay: false, isResumed: false, ...changes,
	};
};

const ctx = (nowMs: number, changes: Partial<LedgerContext> = {}): LedgerContext => ({
	service: modelService, slots: 64, observedRunning: 0, slowdown: 1, nowMs, ...changes,
});

test('a ledger lets in what the engine can read in time, and says when the next one may fit', t => {
	const ledger = createLedger();
	t.true(ledger.reserve(wish('a', 15_000), ctx(0)).isGranted);
	const declined = ledger.reserve(wish('b', 17_000), ctx(1));
	t.false(declined.isGranted);
	t.true(declined.retryAfterMs > 0);
	ledger.noteStarted('a', 320);
	t.true(ledger.reserve(wish('b', 17_000), ctx(321)).isGranted);
});

test('a ledger counts what the engine keeps, and forgets what ended', t => {
	const ledger = createLedger();
	ledger.reserve(wish('a', 9000), ctx(0));
	ledger.noteStarted('a', 200);
	t.is(ledger.reserve(wish('a', 9000, {id: 'again'}), ctx(300)).keptTokens, 4500);
	ledger.noteEnded('a', 400);
	ledger.noteEnded('again', 400);
	t.is(ledger.running, 0);
});

test('a ledger that has just begun counts what the target itself tells of', t => {
	t.false(createLedger().reserve(wish('a', 5000), ctx(0, {observedRunning: 64})).isGranted);
	t.true(createLedger().reserve(wish('a', 5000), ctx(10_000, {observedRunning: 64})).isGranted);
});

test('a VM that restarted does not leave its old request of the same id behind', t => {
	const ledger = createLedger();
	ledger.reserve(wish('a', 9000), ctx(0));
	ledger.reserve(wish('a', 9000), ctx(1));
	t.is(ledger.running, 1);
	ledger.noteEnded('a', 2);
	const {readingTokens} = ledger.reserve(wish('b', 9000), ctx(2));
	t.true(readingTokens <= 9000);
});

const withTargets = (vm: string): ServicePlacement => {
	const placement = createPlacement({vm, vms, service: {...modelService, coldPerS: 0}});
	for (const id of ['t1', 't2', 't3']) {
		placement.handle({kind: 'target', target: target(id)}, 0);
	}

	return placement;
};

const isTold = (effect: PlacementEffect | undefined): effect is Extract<PlacementEffect, {kind: 'tell-peer'}> => effect?.kind === 'tell-peer';

/** A VM that asks another one for room, with the effect that asks. */
const askingVm = () => {
	for (const vm of vms) {
		const placement = withTargets(vm);
		const wanted = createRequest('team', 0, {prompt: prompt('subject', 9000)});
		const [effect] = placement.handle({kind: 'ask', request: wanted}, 0);
		if (isTold(effect)) {
			return {placement, effect, wanted};
		}
	}

	throw new Error('every VM owns its home');
};

test('a VM that is behind its work places without asking others', t => {
	for (const vm of vms) {
		const placement = createPlacement({
			vm, vms, service: {...modelService, coldPerS: 0}, isVmOverloaded: () => true,
		});
		placement.handle({kind: 'target', target: target('t1')}, 0);
		const [effect] = placement.handle({kind: 'ask', request: createRequest('team', 0, {prompt: prompt('subject', 5000)})}, 0);
		t.is(effect?.kind, 'grant');
	}
});

test('a request whose owner does not answer is placed on what is known here; one late answer is no silence, two are', t => {
	const {placement, effect} = askingVm();
	t.deepEqual(placement.handle({kind: 'tick'}, 95), []);
	const [grant] = placement.handle({kind: 'tick'}, 100);
	t.is(grant && outcomeOf(grant), outcomeOf(effect));
	t.is(grant?.kind, 'grant');
	const [again] = placement.handle({kind: 'ask', request: createRequest('team', 110, {prompt: prompt('subject', 9000)})}, 110);
	t.like(again, {kind: 'tell-peer', vm: effect.vm});
	t.is(placement.handle({kind: 'tick'}, 210)[0]?.kind, 'grant');
	const [next] = placement.handle({kind: 'ask', request: createRequest('team', 220, {prompt: prompt('subject', 9000)})}, 220);
	t.true(next?.kind === 'grant' || (isTold(next) && next.vm !== effect.vm));
});

test('an answer that comes late is no reason to forget a request that runs', t => {
	const {placement, effect} = askingVm();
	const id = effect.message.kind === 'request' ? effect.message.wish.id : '';
	t.is(placement.handle({kind: 'tick'}, 100)[0]?.kind, 'grant');
	const late = answerOf(withTargets(effect.vm), effect, 'vm-x');
	t.deepEqual(placement.handle({kind: 'peer', from: effect.vm, message: late}, 160), []);
	const ended = placement.handle({
		kind: 'end', grantId: id, target: outcomeOf(effect), result: {kind: 'answered', cost: 0, answerMs: 1},
	}, 500);
	t.like(ended[0], {
		kind: 'tell-peer', vm: effect.vm, message: {kind: 'progress', id, hasEnded: true},
	});
});

test('the time that an owner is given follows what it usually needs', t => {
	const owners = createTargetOwners(() => vms);
	t.is(owners.answerMs('vm-1'), 100);
	for (let count = 0; count < 50; count++) {
		owners.noteAnswered('vm-1', 30);
		owners.noteAnswered('vm-2', 3000);
		owners.noteAnswered('vm-3', 1);
	}

	t.true(owners.answerMs('vm-1') > 110 && owners.answerMs('vm-1') < 125);
	t.is(owners.answerMs('vm-2'), 150);
	t.is(owners.answerMs('vm-3'), 60);
});

test('an owner that misses answers but is heard keeps its ledgers; one that is dead is passed over and comes back', t => {
	const owners = createTargetOwners(() => vms);
	const owner = owners.ownerOf('t1', 0) ?? '';
	owners.noteHeard(owner, 900);
	owners.noteMissed(owner, 1000);
	owners.noteMissed(owner, 1010);
	t.is(owners.ownerOf('t1', 1010), owner);
	owners.noteMissed(owner, 1300);
	t.not(owners.ownerOf('t1', 1300), owner);
	owners.noteHeard(owner, 1400);
	t.is(owners.ownerOf('t1', 1400), owner);
});

const answerOf = (owner: ServicePlacement, {message}: Extract<PlacementEffect, {kind: 'tell-peer'}>, from: string): PeerMessage => {
	const [answer] = owner.handle({kind: 'peer', from, message}, 2);
	if (!isTold(answer)) {
		throw new Error('no answer');
	}

	return answer.message;
};

test('an answer of the owner starts the request, and its end is told', t => {
	const {placement, effect} = askingVm();
	const message = answerOf(withTargets(effect.vm), effect, 'vm-x');
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

test('room that nobody waits for any more is given back', t => {
	const {placement, effect, wanted} = askingVm();
	const message = answerOf(withTargets(effect.vm), effect, 'vm-x');
	t.like(placement.handle({kind: 'withdraw', requestId: wanted.requestId}, 3)[0], {
		kind: 'tell-peer', vm: effect.vm, message: {kind: 'progress', hasEnded: true},
	});
	t.like(placement.handle({kind: 'peer', from: effect.vm, message}, 4)[0], {
		kind: 'tell-peer', vm: effect.vm, message: {kind: 'progress', hasEnded: true},
	});
});

const overload: Omit<FleetLoad, 'seed'> = {
	vms: 58,
	engines: 16,
	// About 1.3 times what the engines can read of these prompts.
	requestsPerS: 240,
	forMs: 3000,
	latencyTargetMs: 800,
	promptOf: (draw, index) => ({
		model: 'm',
		parts: [{id: 'front', tokens: 8000}, {id: `subject-${Math.floor(draw * draw * 50)}`, tokens: 5000}, {id: `own-${index}`, tokens: 3700}],
		tokens: 16_700,
		outputTokens: 100,
	}),
};

test('many VMs that ask for more than all engines read keep them busy, and make few requests late', t => {
	for (const seed of [1, 2, 3]) {
		const {asked, inTime, late, busy} = runFleet({...overload, seed});
		t.true(late <= asked * 0.05, `seed ${seed}: ${late} of ${asked} late`);
		t.true(busy >= 0.8, `seed ${seed}: engines read ${busy} of their time`);
		t.true(inTime >= asked * 0.5, `seed ${seed}: ${inTime} of ${asked} in time`);
	}
});

test('a prompt whose shared part is being prefilled waits for it, with room of its own', t => {
	const ledger = createLedger();
	const first = ledger.reserve(wish('a', 9000), ctx(0));
	t.like(first, {isGranted: true, startAfterMs: 0});
	const second = ledger.reserve(wish('a', 9000, {id: 'b'}), ctx(1));
	t.true(second.isGranted);
	// 9,000 tokens at 40 a millisecond, and the first step.
	t.true(second.startAfterMs > 245 && second.startAfterMs < 500, `${second.startAfterMs}`);
	t.is(second.readingTokens, 9000 + 4500, 'its own tokens take capacity, the shared ones do not again');
	t.is(ledger.takeReleased(2).size, 0);
	ledger.noteStarted('a', 200);
	t.like(ledger.takeReleased(200).get('b'), {isGranted: true, startAfterMs: 0, keptTokens: 4500});
	t.is(ledger.takeReleased(200).size, 0);
});

test('when the request that prefills a part is gone, the next one prefills it and the others wait for that one', t => {
	const ledger = createLedger();
	ledger.reserve(wish('a', 6000), ctx(0));
	for (const id of ['b', 'c']) {
		t.true(ledger.reserve(wish('a', 6000, {id, targetLatencyMs: 2000}), ctx(1)).startAfterMs > 0);
	}

	ledger.noteEnded('a', 50);
	t.deepEqual([...ledger.takeReleased(50).keys()], ['b']);
	t.is(ledger.reserve(wish('other', 6000, {targetLatencyMs: 5000}), ctx(51)).readingTokens, 6000 + 1500 + 6000);
	ledger.noteEnded('b', 60);
	t.deepEqual([...ledger.takeReleased(60).keys()], ['c']);
});

test('a prompt that shares little with one that is being prefilled does not wait', t => {
	const ledger = createLedger();
	ledger.reserve(wish('a', 6000), ctx(0));
	// The common part of 500 tokens.
	t.is(ledger.reserve(wish('b', 6000, {targetLatencyMs: 2000}), ctx(1)).startAfterMs, 0);
});

const grantedLater = {
	target: 't1', isGranted: true, keptTokens: 0, retryAfterMs: 0, startAfterMs: 300, running: 0, readingTokens: 0, predictedMs: 10,
};

test('a request that waits for a part is sent on the owner\'s word, once, however often that comes', t => {
	const {placement, effect} = askingVm();
	const id = effect.message.kind === 'request' ? effect.message.wish.id : '';
	const told = (startAfterMs: number, atMs: number) => placement.handle({
		kind: 'peer', from: effect.vm, message: {kind: 'answer', id, answer: {...grantedLater, target: outcomeOf(effect), startAfterMs}},
	}, atMs);
	t.deepEqual(told(300, 4), []);
	t.deepEqual(told(300, 5), [], 'a datagram that comes twice');
	t.deepEqual(placement.handle({kind: 'tick'}, 60), [], 'its owner has answered');
	t.is(told(0, 100)[0]?.kind, 'grant');
	t.deepEqual(told(0, 101), [], 'a grant that is used is not given back');
	t.deepEqual(placement.handle({kind: 'tick'}, 400), []);
});

test('a request that waits for a part is sent at the latest when the part should be there, also when its owner is gone', t => {
	const {placement, effect, wanted} = askingVm();
	const id = effect.message.kind === 'request' ? effect.message.wish.id : '';
	placement.handle({
		kind: 'peer', from: effect.vm, message: {kind: 'answer', id, answer: {...grantedLater, target: outcomeOf(effect)}},
	}, 4);
	t.deepEqual(placement.handle({kind: 'tick'}, 303), []);
	const [grant] = placement.handle({kind: 'tick'}, 304);
	t.like(grant, {kind: 'grant', grantId: id, request: {requestId: wanted.requestId}});
});

test('an owner that came back empty answers, and what it hears of grants before changes nothing', t => {
	const {placement, effect} = askingVm();
	const id = effect.message.kind === 'request' ? effect.message.wish.id : '';
	const owner = withTargets(effect.vm);
	for (const hasEnded of [false, true]) {
		t.deepEqual(owner.handle({
			kind: 'peer', from: 'vm-x', message: {
				kind: 'progress', id, target: outcomeOf(effect), hasEnded,
			},
		}, 1), []);
	}

	const message = answerOf(owner, effect, 'vm-x');
	t.like(message, {kind: 'answer', answer: {isGranted: true, startAfterMs: 0, running: 0}});
	t.is(placement.handle({kind: 'peer', from: effect.vm, message}, 4)[0]?.kind, 'grant');
});

test('a caller that leaves while its request waits for a part gives the room back', t => {
	const {placement, effect, wanted} = askingVm();
	const id = effect.message.kind === 'request' ? effect.message.wish.id : '';
	placement.handle({
		kind: 'peer', from: effect.vm, message: {kind: 'answer', id, answer: {...grantedLater, target: outcomeOf(effect)}},
	}, 4);
	t.like(placement.handle({kind: 'withdraw', requestId: wanted.requestId}, 50)[0], {
		kind: 'tell-peer', vm: effect.vm, message: {kind: 'progress', id, hasEnded: true},
	});
	t.deepEqual(placement.handle({kind: 'tick'}, 400), []);
});

const teamBursts: Omit<FleetLoad, 'seed'> = {
	vms: 58,
	engines: 16,
	requestsPerS: 200,
	forMs: 3000,
	latencyTargetMs: 800,
	// Each subject is asked for by some eight requests within 40 ms, and not again.
	promptOf: (draw, index) => ({
		model: 'm',
		parts: [{id: 'front', tokens: 1000}, {id: `subject-${Math.floor(index / 8)}`, tokens: 8000}, {id: `own-${index}`, tokens: 1500 + Math.floor(draw * 1000)}],
		tokens: 11_000,
		outputTokens: 100,
	}),
};

test('prompts of one subject that come together wait for its prefill, and most of them are in time', t => {
	for (const seed of [1, 2, 3]) {
		const {asked, inTime, late, readTokens, readBeside} = runFleet({...teamBursts, seed});
		t.true(inTime >= asked * 0.62, `seed ${seed}: ${inTime} of ${asked} in time`);
		t.true(late <= asked * 0.02, `seed ${seed}: ${late} of ${asked} late`);
		t.true(readBeside <= readTokens * 0.52, `seed ${seed}: ${readBeside} of ${readTokens} tokens were being prefilled already`);
	}
});

/** A third of the VMs has a third of a CPU: their event loop turns come 25 ms late on average. */
const lagMs = (vm: number, draw: number): number => -Math.log(1 - draw) * (vm % 3 === 0 ? 25 : 4);

test('VMs whose messages come late keep one ledger for each engine, and send few of them', t => {
	for (const seed of [1, 2, 3]) {
		const {asked, inTime, late, messages} = runFleet({...overload, seed, lagMs});
		t.true(inTime >= asked * 0.68, `seed ${seed}: ${inTime} of ${asked} in time`);
		t.true(late <= asked * 0.02, `seed ${seed}: ${late} of ${asked} late`);
		t.true(messages <= asked * 7, `seed ${seed}: ${messages} messages for ${asked} requests`);
	}
});

test('when owners die, their engines are used by others\' ledgers', t => {
	for (const seed of [1, 2, 3]) {
		const {asked, inTime, late} = runFleet({
			...overload, seed, lagMs, diesMs: vm => vm % 8 === 1 ? 1000 : Infinity,
		});
		t.true(inTime >= asked * 0.6, `seed ${seed}: ${inTime} of ${asked} in time`);
		t.true(late <= asked * 0.05, `seed ${seed}: ${late} of ${asked} late`);
	}
});

test('engines that are 2.5 times slower for some hundred milliseconds get what they can start in time', t => {
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

test('reservations that are answered at the same moment keep to what a cold target bears', t => {
	let sent = 0;
	let asked = 0;
	for (const vm of vms) {
		const placement = createPlacement({vm, vms});
		placement.handle({kind: 'target', target: target('t1', {coldRemainingMs: 60_000})}, 0);
		const effects = Array.from({length: 12}, () => placement.handle({kind: 'ask', request: createRequest('team', 0, {prompt: prompt('subject', 5000)})}, 0)).flat();
		const ids = effects.flatMap(effect => isTold(effect) && effect.message.kind === 'request' ? [effect.message.wish.id] : []);
		asked += ids.length;
		const later = ids.flatMap((id, index) => placement.handle({
			kind: 'peer', from: 'vm-x', message: {
				kind: 'answer', id, answer: {
					target: 't1', isGranted: true, keptTokens: 0, retryAfterMs: 0, startAfterMs: 0, running: 0, readingTokens: 0, predictedMs: 10,
				},
			},
		}, 2 + index));
		sent += [...effects, ...later].filter(({kind}) => kind === 'grant').length;
	}

	t.true(asked > 20, `${asked} asked for`);
	// 10 a second, times 1.5 and 5 more.
	t.true(sent <= 20, `${sent} sent in one second`);
});
