import test from 'ava';
import {FleetLoads} from '../../src/core/placement/fleet-loads.js';
import {type PlacementEffect} from '../../src/core/placement/messages.js';
import {type ServicePlacement} from '../../src/core/placement/service-placement.js';
import {
	createRequest, createPlacement, modelService, plainService, prompt, target, outcomeOf,
} from './_service.js';

const targetsOf = (effects: readonly PlacementEffect[]) => effects.map(effect => outcomeOf(effect));

const withTargets = (placement: ServicePlacement, ids: readonly string[], nowMs = 0): ServicePlacement => {
	for (const id of ids) {
		placement.handle({kind: 'target', target: target(id)}, nowMs);
	}

	return placement;
};

test('VMs without reports of each other send equal prompts to the same target', t => {
	const first = withTargets(createPlacement({vm: 'vm-1'}), ['t1', 't2', 't3', 't4']);
	const second = withTargets(createPlacement({vm: 'vm-2'}), ['t4', 't3', 't2', 't1']);
	for (let subject = 0; subject < 20; subject++) {
		const promptRequest = createRequest('team', subject * 1000, {prompt: prompt(`s${subject}`, 5000)});
		const chosen = [first, second].map(placement => {
			const [effect] = placement.handle({kind: 'ask', request: promptRequest}, subject * 1000);
			if (effect?.kind === 'grant') {
				placement.handle({
					kind: 'end', grantId: effect.grantId, target: effect.target.id, result: {kind: 'answered', cost: 0, answerMs: 1},
				}, (subject * 1000) + 1);
			}

			return effect?.kind === 'grant' ? effect.target.id : undefined;
		});
		t.is(chosen[0], chosen[1]);
	}
});

test('all VMs together send no more requests to a cold target in any second than it sustains', t => {
	const vms = Array.from({length: 7}, (_, index) => `vm-${index}`);
	const placements = vms.map(vm => {
		const placement = createPlacement({vm, vms});
		placement.handle({kind: 'target', target: target('cold', {coldRemainingMs: 60_000})}, 0);
		return placement;
	});
	const sentMs: number[] = [];
	for (let nowMs = 0; nowMs < 5000; nowMs += 20) {
		for (const placement of placements) {
			const effects = placement.handle({kind: 'ask', request: createRequest('team', nowMs, {prompt: prompt('s', 5000)})}, nowMs);
			sentMs.push(...effects.filter(({kind}) => kind === 'grant').map(() => nowMs));
		}
	}

	const most = Math.max(...sentMs.map(start => sentMs.filter(ms => ms >= start && ms < start + 1000).length));
	t.true(most <= (10 * 1.5) + 5, `${most} in a second`);
	t.true(most >= 7);
});

test('a fleet with more VMs than the cold limit sends no more requests to a cold target than that limit', t => {
	const vms = Array.from({length: 60}, (_, index) => `vm-${index}`);
	let sent = 0;
	for (const vm of vms) {
		const placement = createPlacement({vm, vms});
		placement.handle({kind: 'target', target: target('cold', {coldRemainingMs: 60_000})}, 0);
		for (let count = 0; count < 5; count++) {
			sent += placement.handle({kind: 'ask', request: createRequest('team', 0)}, 0).filter(({kind}) => kind === 'grant').length;
		}
	}

	t.is(sent, 20);
});

test('a target whose connections broke counts as cold until it has responded for the duration of a cold start', t => {
	const vms = Array.from({length: 7}, (_, index) => `vm-${index}`);
	const placement = withTargets(createPlacement({vms}), ['t1']);
	const startMany = (nowMs: number) => Array.from({length: 10}, () => placement.handle({kind: 'ask', request: createRequest('team', nowMs)}, nowMs))
		.flat().flatMap(effect => effect.kind === 'grant' ? effect.grantId : []);
	const answer = (grantId: string, nowMs: number) => {
		placement.handle({
			kind: 'end', grantId, target: 't1', result: {kind: 'answered', cost: 0, answerMs: 1},
		}, nowMs);
	};

	placement.handle({kind: 'unreachable', target: 't1'}, 0);
	const [first = '', second = ''] = startMany(1);
	t.is(startMany(2).length, 0);
	placement.handle({kind: 'tick'}, 700);
	answer(first, 2000);
	t.true(startMany(2500).length <= 2, 'a single response does not prove that it is warm');
	placement.handle({kind: 'tick'}, 5000);
	answer(second, 5600);
	t.is(startMany(7000).length, 10, 'the target is warm although no newer entry of it was read: an entry is not written when only its sequence changes');
});

test('no request is sent to targets that drain, are gone, or are in an excluded data centre', t => {
	const placement = withTargets(createPlacement(), ['drains', 'gone']);
	placement.handle({kind: 'target', target: target('away', {dataCentre: 'dc-b'})}, 0);
	placement.handle({kind: 'target', target: target('drains', {isDraining: true})}, 0);
	placement.handle({kind: 'target-gone', id: 'gone'}, 0);
	placement.handle({kind: 'data-centres-out', names: new Set(['dc-b'])}, 0);
	t.deepEqual(targetsOf(placement.handle({kind: 'ask', request: createRequest('team', 0)}, 0)), ['no-target']);
	placement.handle({kind: 'data-centres-out', names: new Set()}, 10);
	t.deepEqual(targetsOf(placement.handle({kind: 'ask', request: createRequest('team', 10)}, 10)), ['away']);
});

test('a retry is sent to another target', t => {
	const placement = withTargets(createPlacement(), ['t1', 't2']);
	t.deepEqual(targetsOf(placement.handle({kind: 'ask', request: createRequest('team', 0, {tried: ['t1']})}, 0)), ['t2']);
	t.deepEqual(targetsOf(placement.handle({kind: 'ask', request: createRequest('team', 0, {tried: ['t1', 't2']})}, 0)), ['no-target']);
});

test('at most a third of the targets is skipped after failures', t => {
	const placement = withTargets(createPlacement({service: {...plainService, name: 'tariff'}}), ['t1', 't2', 't3']);
	for (const id of ['t1', 't2', 't3']) {
		placement.handle({
			kind: 'end', grantId: 'none', target: id, result: {kind: 'failed', cost: 0, answerMs: 1},
		}, 0);
	}

	const used = new Set(Array.from({length: 12}, () => placement.handle({kind: 'ask', request: createRequest('team', 1)}, 1)).flatMap(effects => targetsOf(effects)));
	t.is(used.size, 2);
});

test('the team with the least usage starts first when capacity becomes free', t => {
	const placement = withTargets(createPlacement({service: {...modelService, engine: {slots: 2, kvCapacityTokens: 400_000, canCopyPrompts: true}}}), ['t1']);
	const [first] = placement.handle({kind: 'ask', request: createRequest('large', 0, {prompt: prompt('a', 5000)})}, 0);
	placement.handle({kind: 'ask', request: createRequest('large', 1, {prompt: prompt('a', 5000)})}, 1);
	placement.handle({kind: 'ask', request: createRequest('large', 2, {prompt: prompt('a', 5000)})}, 2);
	placement.handle({kind: 'ask', request: createRequest('small', 3, {prompt: prompt('b', 5000)})}, 3);
	t.is(first?.kind, 'grant');
	placement.handle({
		kind: 'end', grantId: 'vm-1-1', target: 't1', result: {kind: 'answered', cost: 0, answerMs: 1},
	}, 100);
	const teams = placement.handle({kind: 'tick'}, 101).flatMap(effect => 'request' in effect ? [effect.request.team] : []);
	t.is(teams[0], 'small');
});

test('a team with much usage waits for a team that is queued at another VM', t => {
	const fleet = new FleetLoads();
	const placement = withTargets(createPlacement({vms: ['vm-1', 'vm-2'], fleet}), ['t1', 't2']);
	const start = (nowMs: number) => targetsOf(placement.handle({kind: 'ask', request: createRequest('large', nowMs, {prompt: prompt('a', 5000)})}, nowMs)).length;
	t.is(start(0), 1);
	for (let count = 0; count < 6; count++) {
		start(10 + count);
	}

	const waiting = {
		vm: 'vm-2', incarnation: 'i', sequence: 1, targets: [], teams: [{
			service: 'tariff', team: 'small', use: 100, asked: 100, waits: true,
		}],
	};
	fleet.addReport(waiting, 30);
	t.is(start(31), 0);
	fleet.addReport({...waiting, sequence: 2, teams: []}, 60);
	t.true(placement.handle({kind: 'tick'}, 61).some(({kind}) => kind === 'grant'));
});

test('a request that no target starts in time is refused with a retry delay', t => {
	const placement = withTargets(createPlacement({service: {...modelService, engine: {slots: 1, kvCapacityTokens: 400_000, canCopyPrompts: true}}}), ['t1']);
	placement.handle({kind: 'ask', request: createRequest('team', 0, {prompt: prompt('a', 5000)})}, 0);
	placement.handle({kind: 'ask', request: createRequest('team', 0, {prompt: prompt('a', 5000)})}, 0);
	t.deepEqual(placement.handle({kind: 'tick'}, 500), []);
	const [refused] = placement.handle({kind: 'tick'}, 601);
	t.like(refused, {kind: 'reject', reason: 'too-late'});
	t.true(refused?.kind === 'reject' && refused.retryAfterMs >= 300);
});

test('requests of other VMs count towards the load of a target', t => {
	const fleet = new FleetLoads();
	const placement = withTargets(createPlacement({vms: ['vm-1', 'vm-2'], fleet}), ['t1', 't2']);
	fleet.addReport({
		vm: 'vm-2', incarnation: 'i', sequence: 1, teams: [], targets: [{
			target: 't1', running: 30, readingTokens: 200_000, heldTokens: 300_000,
		}],
	}, 0);
	t.deepEqual(targetsOf(placement.handle({kind: 'ask', request: createRequest('team', 1, {prompt: prompt('a', 5000)})}, 1)), ['t2']);
	fleet.expire(5000, 1500);
	t.is(fleet.loadAt('t1').running, 0);
});

test('a team beyond its share yields, but starts requests while there is capacity', t => {
	const placement = withTargets(createPlacement({service: {...modelService, tokensPerS: 3000}}), ['t1', 't2']);
	const start = (team: string, nowMs: number) => targetsOf(placement.handle({kind: 'ask', request: createRequest(team, nowMs, {prompt: prompt(`${team}-${nowMs}`, 5000)})}, nowMs)).length;
	t.is(start('small', 0), 1);
	let large = 0;
	for (let count = 0; count < 40; count++) {
		large += start('large', 100 + (count * 10));
	}

	t.true(large > 0 && large < 40, `${large} started`);
	t.is(start('large', 500), 0);
	start('small', 501);
	const started = placement.handle({kind: 'tick'}, 505).flatMap(effect => effect.kind === 'grant' ? effect.request.team : []);
	t.deepEqual(started, ['small'], 'the small team gets the capacity that the large one left');
});

test('a resumed request is queued for longer than a new one', t => {
	const placement = withTargets(createPlacement(), ['t1']);
	const start = (changes: Parameters<typeof createRequest>[2]) => targetsOf(placement.handle({kind: 'ask', request: createRequest('team', 0, {prompt: prompt('s', 9000), ...changes})}, 0));
	let started = 0;
	while (start({}).length > 0) {
		started++;
	}

	t.true(started > 0);
	start({isResumed: true});
	t.deepEqual(targetsOf(placement.handle({kind: 'tick'}, 700)), ['too-late']);
	t.is(placement.waiting, 1);
	t.deepEqual(targetsOf(placement.handle({kind: 'tick'}, 2000)), ['too-late']);
});

test('a VM that may send nothing to cold targets uses a suspect target again once the entry of the target shows that its process instance still runs', t => {
	const vms = Array.from({length: 86}, (_, index) => `vm-${index}`);
	const served = vms.filter(vm => {
		const placement = withTargets(createPlacement({vm, vms}), ['t1']);
		placement.handle({kind: 'unreachable', target: 't1'}, 0);
		// The entry still names the same process instance. Had that instance crashed, its entry would have been removed long before.
		placement.handle({kind: 'target', target: target('t1', {sequence: 9})}, 8000);
		return placement.handle({kind: 'ask', request: createRequest('team', 8001)}, 8001).some(({kind}) => kind === 'grant');
	});
	t.is(served.length, vms.length);
});
