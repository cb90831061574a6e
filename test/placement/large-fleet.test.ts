import test from 'ava';
import {nextPeers, planExchange} from '../../src/core/placement/exchange-plan.js';
import {FleetLoads} from '../../src/core/placement/fleet-loads.js';
import {createRandom} from '../../tools/load/random.js';
import {
	createRequest, createPlacement, modelService, plainService, prompt, target, outcomeOf,
} from './_service.js';

const MS_PER_S = 1000;

/** Returns the reports that one VM sends in a second, and receives on average. */
const reportsPerS = (vms: number): number => {
	const {peersPerReport, periodMs} = planExchange(vms - 1);
	return peersPerReport * MS_PER_S / periodMs;
};

test('the number of reports that a VM sends and receives does not grow with the fleet', t => {
	t.true(reportsPerS(300) <= reportsPerS(30) * 1.5);
	t.true(reportsPerS(1100) <= reportsPerS(30) * 1.5);
	t.true(reportsPerS(17) <= reportsPerS(7) * 1.5);
});

test('every VM of a large fleet receives reports in turn', t => {
	const plan = planExchange(85);
	const peers = Array.from({length: 85}, (_, index) => index);
	const reportedTo = new Set<number>();
	for (let round = 0; round < Math.ceil(85 / plan.peersPerReport); round++) {
		for (const peer of nextPeers(peers, 1000 + (round * plan.peersPerReport), plan)) {
			reportedTo.add(peer);
		}
	}

	t.is(reportedTo.size, 85);
});

test('the usage of a team is estimated from a sample of reports in fleets of any size', t => {
	for (const vms of [30, 86, 300, 1100]) {
		const {validMs} = planExchange(vms - 1);
		const reporting = Math.min(vms - 1, reportsPerS(vms) * validMs / MS_PER_S);
		const fleet = new FleetLoads();
		for (let vm = 0; vm < reporting; vm++) {
			fleet.addReport({
				vm: `vm-${vm}`, incarnation: 'i', sequence: 1, targets: [], teams: [{
					service: 'tariff', team: 'team', use: 100, asked: 200, waits: false,
				}],
			}, vm);
		}

		fleet.expire(validMs, validMs, vms - 1);
		const {use, asked} = fleet.teamSum('tariff', 'team');
		t.true(Math.abs(use - (100 * (vms - 1))) < 1, `${vms} VMs: ${use}`);
		t.true(Math.abs(asked - (200 * (vms - 1))) < 1);
	}
});

test('VMs of a large fleet that know the same load figures do not all send to the same target', t => {
	const vms = Array.from({length: 86}, (_, index) => `vm-${index}`);
	const ids = Array.from({length: 10}, (_, index) => `t${index}`);
	const random = createRandom(7);
	const chosen = new Map<string, number>();
	for (const vm of vms) {
		const placement = createPlacement({
			vm, vms, random: () => random.uniform(), service: {...plainService, name: 'tariff'},
		});
		for (const id of ids) {
			placement.handle({kind: 'target', target: target(id, {slots: 6})}, 0);
		}

		placement.handle({
			kind: 'observed-elsewhere', loads: ids.map((id, index) => ({
				target: id, running: index === 0 ? 0 : 3, waiting: 0, ageMs: 100,
			})),
		}, 1000);
		for (const effect of placement.handle({kind: 'ask', request: createRequest('team', 1000)}, 1000)) {
			const id = effect.kind === 'grant' ? effect.target.id : 'none';
			chosen.set(id, (chosen.get(id) ?? 0) + 1);
		}
	}

	t.is(chosen.get('none'), undefined);
	t.true((chosen.get('t0') ?? 0) <= 86 * 0.4, `${chosen.get('t0')} of 86 to the least loaded`);
	t.true((chosen.get('t0') ?? 0) >= 5, 'the least loaded target is chosen by at least 5 of 86 VMs');
});

test('VMs of a large fleet send a prompt to the same target while it has capacity', t => {
	const vms = Array.from({length: 86}, (_, index) => `vm-${index}`);
	const random = createRandom(11);
	const chosen = new Set<string>();
	for (const vm of vms) {
		const placement = createPlacement({
			vm, vms, random: () => random.uniform(), service: modelService,
		});
		for (let index = 0; index < 30; index++) {
			placement.handle({kind: 'target', target: target(`t${index}`)}, 0);
		}

		for (const effect of placement.handle({kind: 'ask', request: createRequest('team', 0, {prompt: prompt('subject', 9000)})}, 0)) {
			chosen.add(outcomeOf(effect));
		}
	}

	t.is(chosen.size, 1);
});

test('load figures that a target sent to another VM count until newer ones arrive', t => {
	const vms = Array.from({length: 86}, (_, index) => `vm-${index}`);
	const placement = createPlacement({vms, service: {...plainService, name: 'tariff'}});
	placement.handle({kind: 'target', target: target('t1', {slots: 2})}, 0);
	const starts = (nowMs: number) => placement.handle({kind: 'ask', request: createRequest('team', nowMs)}, nowMs).some(({kind}) => kind === 'grant');
	placement.handle({
		kind: 'observed-elsewhere', loads: [{
			target: 't1', running: 4, waiting: 3, ageMs: 100,
		}],
	}, 1000);
	t.false(starts(1001));
	placement.handle({
		kind: 'observed-elsewhere', loads: [{
			target: 't1', running: 1, waiting: 0, ageMs: 0,
		}],
	}, 1100);
	placement.handle({
		kind: 'observed-elsewhere', loads: [{
			target: 't1', running: 4, waiting: 3, ageMs: 500,
		}],
	}, 1101);
	t.true(placement.handle({kind: 'tick'}, 1102).some(({kind}) => kind === 'grant'));
});
