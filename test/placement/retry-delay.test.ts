import test from 'ava';
import {createRetryDelays} from '../../src/core/placement/retry-delay.js';
import {createRandom} from '../../tools/load/random.js';
import {runQueue} from './_queue-load.js';

test('callers refused at one moment get different delays, spaced by the drain rate', t => {
	const random = createRandom(1);
	const delays = createRetryDelays(() => random.uniform());
	const returned = Array.from({length: 20}, () => delays.next({drainMs: 200, perRequestMs: 20, remainingMs: 9000}, 1000));
	t.true(new Set(returned.map(ms => Math.round(ms))).size >= 18);
	t.true(Math.max(...returned) >= 200 + (20 * 20));
	t.true(returned.every((ms, index) => ms >= 200 + (20 * (index + 1))), 'each finds capacity after those before it');
});

test('a delay stays within a third of the caller\'s remaining time', t => {
	const random = createRandom(2);
	const delays = createRetryDelays(() => random.uniform());
	const returned = Array.from({length: 50}, () => delays.next({drainMs: 2000, perRequestMs: 20, remainingMs: 900}, 1000));
	t.true(returned.every(ms => ms > 0 && ms <= 300));
	t.true(new Set(returned.map(ms => Math.round(ms))).size > 25);
});

test('refusals of an overloaded VM carry delays that differ and that callers accept', t => {
	const {outcomes} = runQueue({
		seed: 3, vms: 58, targets: 2, slots: 6, serviceMs: draw => 50 + (100 * draw), durationMs: 6000, requestsPerS: () => 300,
		requestOf: (_, index) => ({team: `team-${index % 6}`, placement: {targetLatencyMs: 300}, timeLeftMs: 4000}),
	});
	const refused = outcomes.filter(({kind}) => kind === 'refused');
	t.true(refused.length > 100);
	t.true(refused.every(({request, retryAfterMs, decidedMs}) => retryAfterMs <= (request.deadlineMs - decidedMs) / 3));
	for (let fromMs = 0; fromMs < 6000; fromMs += 100) {
		const group = refused.filter(({decidedMs}) => decidedMs >= fromMs && decidedMs < fromMs + 100);
		const distinct = new Set(group.map(({retryAfterMs}) => Math.round(retryAfterMs))).size;
		t.true(distinct >= group.length * 0.8, `${distinct} different delays in ${group.length} refusals`);
	}
});
