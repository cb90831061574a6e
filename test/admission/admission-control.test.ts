/**
 * Without admission control, a flood at a VM with a third of a processor makes responses late and
 * starves other teams. One team opens 700 connections a second; nine others send at their typical
 * rate.
 */
import test from 'ava';
import {createAdmissionControl} from '../../src/core/admission/admission-control.js';
import {
	admittedShare, arrivalsOf, longestWaitMs, runFlood, type FloodedVm,
} from './_flooded-vm.js';

const otherTeams = Array.from({length: 9}, (_, index) => `team-${index}`);

const vm: FloodedVm = {
	processorShare: 0.33,
	costs: {
		admittedMs: 2, refusedMs: 0.15, eventMs: 0.04, idleMs: 0.6,
	},
	events: 12,
	gapMs: 40,
};

const typicalLoad = (perS: number, span: readonly [number, number]) => otherTeams.flatMap(team => arrivalsOf(team, perS, span));

const MAX_RESPONSE_MS = 500;

test('in a flood of one team, every caller has its response in time and the other teams are served', t => {
	const {answered} = runFlood(vm, [...typicalLoad(5, [0, 12_000]), ...arrivalsOf('flood', 700, [2000, 10_000])]);
	t.true(longestWaitMs(answered) < MAX_RESPONSE_MS, `slowest ${longestWaitMs(answered)} ms`);
	for (const team of otherTeams) {
		t.true(admittedShare(answered, team) > 0.97, `${team} ${admittedShare(answered, team)}`);
	}

	const flood = answered.filter(({team, isAdmitted}) => team === 'flood' && isAdmitted).length / 8;
	t.true(flood > 15 && flood < 90, `${flood} requests/s of the flood are served`);
});

test('teams that together need more than the capacity of the VM get a similar number of requests admitted', t => {
	const {answered} = runFlood(vm, [...typicalLoad(20, [0, 10_000]), ...arrivalsOf('flood', 700, [2000, 10_000])]);
	const later = answered.filter(({atMs}) => atMs > 3000);
	t.true(longestWaitMs(answered) < MAX_RESPONSE_MS, `slowest ${longestWaitMs(answered)} ms`);
	const served = otherTeams.map(team => later.filter(answer => answer.team === team && answer.isAdmitted).length);
	const flood = later.filter(answer => answer.team === 'flood' && answer.isAdmitted).length;
	t.true(Math.max(...served) < 2 * Math.min(...served), `served ${served.join(' ')}`);
	t.true(flood < 2 * Math.max(...served), `${flood} of the flood, ${served.join(' ')}`);
});

test('two floods of different size get a similar number of requests admitted', t => {
	const {answered} = runFlood(vm, [
		...typicalLoad(3, [0, 10_000]), ...arrivalsOf('flood', 400, [2000, 10_000]), ...arrivalsOf('other-flood', 200, [2000, 10_000]),
	]);
	t.true(longestWaitMs(answered) < MAX_RESPONSE_MS, `slowest ${longestWaitMs(answered)} ms`);
	const served = ['flood', 'other-flood'].map(team => answered.filter(answer => answer.team === team && answer.isAdmitted && answer.atMs > 3000).length);
	t.true(Math.max(...served) < 1.5 * Math.min(...served), `served ${served.join(' ')}`);
	for (const team of otherTeams) {
		t.true(admittedShare(answered, team) > 0.97, `${team} ${admittedShare(answered, team)}`);
	}
});

test('a burst at a VM that is not overloaded is admitted', t => {
	const {answered} = runFlood(vm, [...typicalLoad(5, [0, 6000]), ...arrivalsOf('burst', 200, [3000, 3100])]);
	t.is(answered.filter(({isAdmitted}) => !isAdmitted).length, 0);
});

test('a VM at its typical load refuses nothing, also if requests cost more than the prior estimate', t => {
	for (const admittedMs of [1, 2, 4]) {
		const {answered, busyShare} = runFlood({...vm, costs: {...vm.costs, admittedMs}}, typicalLoad(5, [0, 20_000]));
		t.is(answered.filter(({isAdmitted}) => !isAdmitted).length, 0, `at ${admittedMs} ms, ${busyShare(1000, 19_000)} of the budget`);
	}
});

test('wrong prior costs are corrected: every caller in a flood has its response in time', t => {
	for (const [admittedMs, refusedMs] of [[5, 0.15], [0.8, 0.08], [3, 0.25]] as const) {
		const {answered} = runFlood({...vm, costs: {...vm.costs, admittedMs, refusedMs}}, [...typicalLoad(2, [0, 10_000]), ...arrivalsOf('flood', 700, [2000, 10_000])]);
		const late = answered.filter(({atMs, answeredMs}) => atMs > 3000 && answeredMs - atMs > MAX_RESPONSE_MS).length;
		t.is(late, 0, `${admittedMs} ms and ${refusedMs} ms`);
	}
});

test('a process that was paused during a flood responds to the waiting callers in time and admits the other teams again', t => {
	const {answered} = runFlood({...vm, pauses: [[4000, 5500]]}, [
		...typicalLoad(5, [0, 3700]), ...typicalLoad(5, [5450, 12_000]), ...arrivalsOf('flood', 700, [2000, 3700]), ...arrivalsOf('flood', 700, [5350, 10_000]),
	]);
	t.true(longestWaitMs(answered) < MAX_RESPONSE_MS, `slowest ${longestWaitMs(answered)} ms`);
	t.true(admittedShare(answered.filter(({atMs}) => atMs > 6000), 'team-1') > 0.97);
});

test('every request is admitted again one second after a flood', t => {
	const {answered} = runFlood(vm, [...typicalLoad(5, [0, 9000]), ...arrivalsOf('flood', 700, [2000, 5000]), ...arrivalsOf('flood', 5, [6000, 9000])]);
	t.is(answered.filter(({atMs, isAdmitted}) => atMs > 6000 && !isAdmitted).length, 0);
});

test('a VM counts as overloaded only after it has had no idle time for two seconds although it refuses requests', t => {
	const expensive = {...vm, costs: {...vm.costs, refusedMs: 0.6}};
	t.false(runFlood(expensive, arrivalsOf('flood', 900, [0, 800])).admissionControl.isOverloaded());
	t.true(runFlood(expensive, arrivalsOf('flood', 900, [0, 6000])).admissionControl.isOverloaded());
});

test('a VM that has idle time because it refuses requests does not count as overloaded during the flood', t => {
	t.false(runFlood(vm, arrivalsOf('flood', 700, [0, 8000])).admissionControl.isOverloaded());
});

test('a VM with a faster processor admits more of the same flood', t => {
	const admitted = [1, 2].map(processors => {
		let usedMs = 0;
		const admissionControl = createAdmissionControl({
			processorShare: 0.3, processors, usedMs: () => usedMs, idleMs: () => 0, open: () => 0,
		});
		return Array.from({length: 2000}, (_, index) => {
			const isAdmitted = admissionControl.admit('flood', index);
			usedMs += isAdmitted ? 2 : 0.2;
			return isAdmitted;
		}).filter(Boolean).length;
	});
	const [one = 0, two = 0] = admitted;
	t.true(two > 1.5 * one, `${one} and ${two}`);
});

test('a VM whose share of a processor is not known admits every request', t => {
	const admissionControl = createAdmissionControl({
		processorShare: undefined, processors: 1, usedMs: () => 0, idleMs: () => 0, open: () => 0,
	});
	t.true(Array.from({length: 1000}, () => admissionControl.admit('flood', 1)).every(Boolean));
});
