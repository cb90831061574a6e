import test from 'ava';
import fc from 'fast-check';
import {createSlidingCount} from '../../src/core/placement/sliding-count.js';

const WINDOW_MS = 1000;

test('the counter returns the number of events in the window that ends now, even after many windows', t => {
	const check = () => {
		fc.assert(fc.property(fc.array(fc.tuple(fc.integer({min: 0, max: 400}), fc.boolean()), {maxLength: 300}), steps => {
			const count = createSlidingCount(WINDOW_MS);
			const added: number[] = [];
			let nowMs = 0;
			return steps.every(([waitMs, adds]) => {
				nowMs += waitMs;
				if (adds) {
					count.add(nowMs);
					added.push(nowMs);
				}

				return count.size(nowMs) === added.filter(ms => ms >= nowMs - WINDOW_MS).length;
			});
		}), {seed: 7, numRuns: 200});
	};

	t.notThrows(check);
});
