/** Replays floods at a VM with a third of a processor: 700 new connections a second of one team, nine others at their usual rate. */
import test from 'ava';
import {createAdmissionControl} from '../../src/core/admission/ingress.js';
import {
	admittedShare, arrivalsOf, runFlood, longestWaitMs, type FloodedVm,
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

test('a flood of one team: every caller is answered in time and the neighbours are served', t => {
	const {answered} = runFlood(vm, [...typicalLoad(5, [0, 12_000]), ...arrivalsOf('flood', 700, [2000, 10_000])]);
	t.true(longestWaitMs(answered) < MAX_RESPONSE_MS, `slowest ${longestWaitMs(answered)} ms`);
	for (const team of otherTeams) {
		t.true(admittedShare(answered, team) > 0.97, `${team} ${admittedShare(answered, team)}`);
	}

	const flood = answered.filter(({team, isAdmitted}) => team === 'flood' && isAdmitted).length / 8;
	t.true(flood > 15 && flood < 90, `${flood} requests/s of the flood are served`);
});

test('neighbours that together need more than the VM has all get an even part', t => {
	const {answered} = runFlood(vm, [...typicalLoad(20, [0, 10_000]), ...arrivalsOf('flood', 700, [2000, 10_000])]);
	const later = answered.filter(({atMs}) => atMs > 3000);
	t.true(longestWaitMs(answered) < MAX_RESPONSE_MS, `slowest ${longestWaitMs(answered)} ms`);
	const served = otherTeams.map(team => later.filter(answer => answer.team === team && answer.isAdmitted).length);
	const flood = later.filter(answer => answer.team === 'flood' && answer.isAdmitted).length;
	t.true(Math.max(...served) < 2 * Math.min(...served), `served ${served.join(' ')}`);
	t.true(flood < 2 * Math.max(...served), `${flood} of the flood, ${served.join(' ')}`);
});

test('two floods of different size get the same', t => {
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

test('a burst at a VM that keeps up is admitted', t => {
	const {answered} = runFlood(vm, [...typicalLoad(5, [0, 6000]), ...arrivalsOf('burst', 200, [3000, 3100])]);
	t.is(answered.filter(({isAdmitted}) => !isAdmitted).length, 0);
});

test('a VM at its usual load refuses nothing, also if requests cost more than was assumed', t => {
	for (const admittedMs of [1, 2, 4]) {
		const {answered, busyShare} = runFlood({...vm, costs: {...vm.costs, admittedMs}}, typicalLoad(5, [0, 20_000]));
		t.is(answered.filter(({isAdmitted}) => !isAdmitted).length, 0, `at ${admittedMs} ms, ${busyShare(1000, 19_000)} of the budget`);
	}
});

test('costs that were assumed wrongly are corrected: callers of a flood are answered in time all the same', t => {
	for (const [admittedMs, refusedMs] of [[5, 0.15], [0.8, 0.08], [3, 0.25]] as const) {
		const {answered} = runFlood({...vm, costs: {...vm.costs, admittedMs, refusedMs}}, [...typicalLoad(2, [0, 10_000]), ...arrivalsOf('flood', 700, [2000, 10_000])]);
		const late = answered.filter(({atMs, answeredMs}) => atMs > 3000 && answeredMs - atMs > MAX_RESPONSE_MS).length;
		t.is(late, 0, `${admittedMs} ms and ${refusedMs} ms`);
	}
});

test('a VM that stood still during a flood answers what waited, and goes on', t => {
	const {answered} = runFlood({...vm, pauses: [[4000, 5500]]}, [
		...typicalLoad(5, [0, 3700]), ...typicalLoad(5, [5450, 12_000]), ...arrivalsOf('flood', 700, [2000, 3700]), ...arrivalsOf('flood', 700, [5350, 10_000]),
	]);
	t.true(longestWaitMs(answered) < MAX_RESPONSE_MS, `slowest ${longestWaitMs(answered)} ms`);
	t.true(admittedShare(answered.filter(({atMs}) => atMs > 6000), 'team-1') > 0.97);
});

test('after a flood everything is admitted again within a second', t => {
	const {answered} = runFlood(vm, [...typicalLoad(5, [0, 9000]), ...arrivalsOf('flood', 700, [2000, 5000]), ...arrivalsOf('flood', 5, [6000, 9000])]);
	t.is(answered.filter(({atMs, isAdmitted}) => atMs > 6000 && !isAdmitted).length, 0);
});

test('a VM leaves rotation when it cannot catch up by refusing for two seconds, not before', t => {
	const expensive = {...vm, costs: {...vm.costs, refusedMs: 0.6}};
	t.false(runFlood(expensive, arrivalsOf('flood', 900, [0, 800])).ingress.isOverloaded());
	t.true(runFlood(expensive, arrivalsOf('flood', 900, [0, 6000])).ingress.isOverloaded());
});

test('a VM that keeps up by refusing stays in rotation during the whole flood', t => {
	t.false(runFlood(vm, arrivalsOf('flood', 700, [0, 8000])).ingress.isOverloaded());
});

test('a VM with several times the processor admits more of the same flood', t => {
	const admitted = [1, 2].map(processors => {
		let usedMs = 0;
		const ingress = createAdmissionControl({
			processorShare: 0.3, processors, usedMs: () => usedMs, idleMs: () => 0, open: () => 0,
		});
		return Array.from({length: 2000}, (_, index) => {
			const isAdmitted = ingress.admit('flood', index);
			usedMs += isAdmitted ? 2 : 0.2;
			return isAdmitted;
		}).filter(Boolean).length;
	});
	const [one = 0, two = 0] = admitted;
	t.true(two > 1.5 * one, `${one} and ${two}`);
});

test('a VM whose part of a processor is not known admits everything', t => {
	const ingress = createAdmissionControl({
		processorShare: undefined, processors: 1, usedMs: () => 0, idleMs: () => 0, open: () => 0,
	});
	t.true(Array.from({length: 1000}, () => ingress.admit('flood', 1)).every(Boolean));
});
