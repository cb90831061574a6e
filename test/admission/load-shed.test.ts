import test from 'ava';
import {createLoadShedder, type LoadShedder} from '../../src/core/admission/load-shedder.js';

const behind = 300;
const calm = 2;

const look = (shed: LoadShedder, times: number, delayMs: number): void => {
	for (let count = 0; count < times; count++) {
		shed.recordLoopDelay(delayMs);
	}
};

/** Evenly spread numbers, so that shares come out as they are. */
const evenRandom = () => {
	let next = 0;
	return () => {
		next = (next + 0.618) % 1;
		return next;
	};
};

const takenOf = (shed: LoadShedder, team: string, count: number): number =>
	Array.from({length: count}, () => shed.admit(team, 0)).filter(Boolean).length;

test('a short stall refuses nothing', t => {
	const shed = createLoadShedder({behindMs: 30, random: evenRandom()});
	look(shed, 3, behind);
	look(shed, 1, calm);
	look(shed, 3, behind);
	t.is(takenOf(shed, 'team', 50), 50);
});

test('a VM that keeps up refuses nothing', t => {
	const shed = createLoadShedder({behindMs: 30, random: evenRandom()});
	look(shed, 50, 20);
	t.is(takenOf(shed, 'team', 50), 50);
});

test('a VM that stays behind takes a small part, and all again when it is no longer behind', t => {
	const shed = createLoadShedder({behindMs: 30, random: evenRandom()});
	look(shed, 20, behind);
	const taken = takenOf(shed, 'team', 200);
	t.true(taken > 0 && taken < 30, `${taken} of 200`);
	t.true(shed.isOverloaded());
	look(shed, 12, calm);
	t.is(shed.refusedShare(), 0);
	t.false(shed.isOverloaded());
	t.is(takenOf(shed, 'team', 50), 50);
});

test('a team that sends less than an even part is not refused for the flood of another', t => {
	const shed = createLoadShedder({behindMs: 30, random: evenRandom()});
	look(shed, 7, behind);
	let [small, large] = [0, 0];
	for (let round = 0; round < 100; round++) {
		large += takenOf(shed, 'flood', 20);
		small += takenOf(shed, 'small', 1);
	}

	t.is(small, 100);
	t.true(large < 2000 * 0.5, `${large} of 2000`);
});
