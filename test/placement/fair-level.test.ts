import test from 'ava';
import fc from 'fast-check';
import {maxMinLevel} from '../../src/core/placement/fair-level.js';

test('the level is infinite while the capacity meets all demands', t => {
	t.is(maxMinLevel([], 10), Infinity);
	t.is(maxMinLevel([1, 9], 10), Infinity);
});

test('demands below the level are met in full, and larger demands receive the level', t => {
	t.is(maxMinLevel([100, 2, 50], 12), 5);
	t.is(maxMinLevel([3, 3, 3], 6), 2);
});

test('the granted amounts add up to the capacity or, if less, to the demands', t => {
	const holds = fc.property(fc.array(fc.nat({max: 10_000}), {minLength: 1}), fc.integer({min: 1, max: 100_000}), (demands, capacity) => {
		const level = maxMinLevel(demands, capacity);
		const granted = demands.reduce((sum, demand) => sum + Math.min(demand, level), 0);
		const demanded = demands.reduce((sum, demand) => sum + demand, 0);
		return Math.abs(granted - Math.min(demanded, capacity)) < 0.001 * capacity;
	});
	t.notThrows(() => {
		fc.assert(holds, {seed: 7});
	});
});
