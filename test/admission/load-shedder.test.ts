import test from 'ava';
import {createLoadShedder, type LoadShedder} from '../../src/core/admission/load-shedder.js';

const lateMs = 300;
const onTimeMs = 2;

const check = (shed: LoadShedder, times: number, delayMs: number): void => {
	for (let count = 0; count < times; count++) {
		shed.recordLoopDelay(delayMs);
	}
};

/** Returns evenly distributed numbers instead of random ones, so that admitted shares are exact. */
const evenRandom = () => {
	let next = 0;
	return () => {
		next = (next + 0.618) % 1;
		return next;
	};
};

const admittedOf = (shed: LoadShedder, team: string, count: number): number =>
	Array.from({length: count}, () => shed.admit(team, 0)).filter(Boolean).length;

test('a short stall refuses nothing', t => {
	const shed = createLoadShedder({behindMs: 30, random: evenRandom()});
	check(shed, 3, lateMs);
	check(shed, 1, onTimeMs);
	check(shed, 3, lateMs);
	t.is(admittedOf(shed, 'team', 50), 50);
});

test('a VM whose event loop does not lag refuses nothing', t => {
	const shed = createLoadShedder({behindMs: 30, random: evenRandom()});
	check(shed, 50, 20);
	t.is(admittedOf(shed, 'team', 50), 50);
});

test('a VM whose event loop keeps lagging admits a small share of the requests, and admits all of them once the lag has ended', t => {
	const shed = createLoadShedder({behindMs: 30, random: evenRandom()});
	check(shed, 20, lateMs);
	const taken = admittedOf(shed, 'team', 200);
	t.true(taken > 0 && taken < 30, `${taken} of 200`);
	t.true(shed.isOverloaded());
	check(shed, 12, onTimeMs);
	t.is(shed.refusedShare(), 0);
	t.false(shed.isOverloaded());
	t.is(admittedOf(shed, 'team', 50), 50);
});

test('a team that sends less than its fair share is not refused while another team sends far more', t => {
	const shed = createLoadShedder({behindMs: 30, random: evenRandom()});
	check(shed, 7, lateMs);
	let [small, large] = [0, 0];
	for (let round = 0; round < 100; round++) {
		large += admittedOf(shed, 'flood', 20);
		small += admittedOf(shed, 'small', 1);
	}

	t.is(small, 100);
	t.true(large < 2000 * 0.5, `${large} of 2000`);
});
