import test from 'ava';
import {MAX_TICK_MS, MIN_TICK_MS, nextTickMs} from '../../src/core/placement/tick-pace.js';

/** Returns the share of a second that looks at the waiting requests take, and their number. */
const playSecond = (tookMs: number): {readonly share: number; readonly looks: number} => {
	let busyMs = 0;
	let looks = 0;
	for (let atMs = 0; atMs < 1000; atMs += tookMs + nextTickMs(tookMs)) {
		busyMs += tookMs;
		looks++;
	}

	return {share: busyMs / 1000, looks};
};

// Guards against a VM with a small share of a processor that spends it on looking at requests which can't start.
test('looks at waiting requests take at most a tenth of the time while they take up to 4 ms, and are bounded beyond', t => {
	for (const tookMs of [0.01, 0.1, 0.5, 1, 2, 4]) {
		t.true(playSecond(tookMs).share <= 0.102, `${tookMs} ms: ${playSecond(tookMs).share}`);
	}

	t.is(nextTickMs(100), MAX_TICK_MS);
});

test('a VM with processor time to spare looks as often as before', t => {
	t.is(nextTickMs(0), MIN_TICK_MS);
	t.is(nextTickMs(0.5), MIN_TICK_MS);
	t.true(playSecond(0.1).looks >= 190);
});
