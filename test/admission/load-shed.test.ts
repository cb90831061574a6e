import test from 'ava';
import {createLoadShed, type LoadShed} from '../../src/core/admission/load-shed.js';

const behind = 300;
const calm = 2;

const look = (shed: LoadShed, times: number, delayMs: number): void => {
	for (let count = 0; count < times; count++) {
		shed.noteDelay(delayMs);
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

const takenOf = (shed: LoadShed, team: string, count: number): number =>
	Array.from({length: count}, () => shed.takes(team, 0)).filter(Boolean).length;

test('a short stall refuses nothing', t => {
	const shed = createLoadShed({behindMs: 30, random: evenRandom()});
	look(shed, 3, behind);
	look(shed, 1, calm);
	look(shed, 3, behind);
	t.is(takenOf(shed, 'team', 50), 50);
});

test('a VM that keeps up refuses nothing', t => {
	const shed = createLoadShed({behindMs: 30, random: evenRandom()});
	look(shed, 50, 20);
	t.is(takenOf(shed, 'team', 50), 50);
});

test('a VM that stays behind takes a small part, and all again when it is no longer behind', t => {
	const shed = createLoadShed({behindMs: 30, random: evenRandom()});
	look(shed, 20, behind);
	const taken = takenOf(shed, 'team', 200);
	t.true(taken > 0 && taken < 30, `${taken} of 200`);
	t.true(shed.isOverloaded());
	look(shed, 12, calm);
	t.is(shed.share(), 0);
	t.false(shed.isOverloaded());
	t.is(takenOf(shed, 'team', 50), 50);
});

test('a team that sends less than an even part is not refused for the flood of another', t => {
	const shed = createLoadShed({behindMs: 30, random: evenRandom()});
	look(shed, 7, behind);
	let [small, large] = [0, 0];
	for (let round = 0; round < 100; round++) {
		large += takenOf(shed, 'flood', 20);
		small += takenOf(shed, 'small', 1);
	}

	t.is(small, 100);
	t.true(large < 2000 * 0.5, `${large} of 2000`);
});
