import test from 'ava';
import {
	countOf, runQueue, type QueueLoad,
} from './_queue-load.js';

const TARGET_LATENCY_MS = 300;
/** Two targets of 6 slots at 100 ms run 120 requests a second. */
const CAPACITY_PER_S = 120;
const BURST_MS = {fromMs: 1000, toMs: 2500};

/** A burst of 1.6 times the capacity, with 0.4 times the capacity before and after it. */
const burst: Omit<QueueLoad, 'seed'> = {
	vms: 58,
	targets: 2,
	slots: 6,
	serviceMs: draw => 50 + (100 * draw),
	durationMs: 8000,
	requestsPerS: nowMs => CAPACITY_PER_S * (nowMs >= BURST_MS.fromMs && nowMs < BURST_MS.toMs ? 1.6 : 0.4),
	requestOf: (_, index) => ({team: `team-${index % 6}`, placement: {targetLatencyMs: TARGET_LATENCY_MS}, timeLeftMs: 4000}),
};

test('requests that a burst makes late are served when the burst is over, if their callers still wait', t => {
	for (const seed of [1, 2, 3]) {
		const run = runQueue({...burst, seed});
		const refused = countOf(run, 'refused');
		t.true(countOf(run, 'late') >= 20, `seed ${seed}: ${countOf(run, 'late')} late`);
		t.true(refused <= run.outcomes.length * 0.03, `seed ${seed}: ${refused} of ${run.outcomes.length} refused`);
	}
});

test('late requests do not reduce the number of responses in time', t => {
	for (const seed of [1, 2, 3]) {
		const withTier = countOf(runQueue({...burst, seed}), 'in-time');
		const without = countOf(runQueue({...burst, seed, vms: 7}), 'in-time');
		t.true(countOf(runQueue({...burst, seed}), 'late') > 0);
		t.true(withTier >= without * 0.97, `seed ${seed}: ${withTier} in time, ${without} without the second tier`);
	}
});

test('during a lasting overload, most requests that will not be dispatched before their callers give up are refused on arrival', t => {
	for (const seed of [1, 2, 3]) {
		// Requests arrive at 1.5 times the capacity for 12 s, and their callers give up after 2 s.
		const run = runQueue({
			...burst, seed, durationMs: 12_000, requestsPerS: () => CAPACITY_PER_S * 1.5,
			requestOf: (_, index) => ({team: `team-${index % 6}`, placement: {targetLatencyMs: TARGET_LATENCY_MS}, timeLeftMs: 2000}),
		});
		const afterWarmUp = run.outcomes.filter(({decidedMs}) => decidedMs > 4000);
		const refused = afterWarmUp.filter(({kind}) => kind === 'refused');
		const immediate = refused.filter(({elapsedMs}) => elapsedMs <= TARGET_LATENCY_MS / 8);
		t.true(refused.length > 0);
		t.true(immediate.length >= refused.length * 0.5, `seed ${seed}: ${immediate.length} of ${refused.length} refused at once`);
		t.true(refused.every(({elapsedMs}) => elapsedMs <= TARGET_LATENCY_MS / 2), `seed ${seed}: a refusal after more than half of the latency target`);
		const inTime = afterWarmUp.filter(({kind}) => kind === 'in-time').length;
		t.true(inTime >= CAPACITY_PER_S * 8 * 0.95, `seed ${seed}: ${inTime} in time`);
	}
});

test('a VM without a known drain rate refuses no request on arrival', t => {
	const run = runQueue({
		...burst, seed: 4, durationMs: 150, requestsPerS: () => 1000,
	});
	t.is(countOf(run, 'refused'), 0);
	t.true(run.outcomes.length >= 24);
});

test('requests whose callers gave up while the process was paused are refused, not sent', t => {
	const run = runQueue({
		...burst, seed: 5, requestsPerS: () => CAPACITY_PER_S * 1.5, durationMs: 8000, pause: {fromMs: 3000, toMs: 7000},
		requestOf: (_, index) => ({team: `team-${index % 6}`, placement: {targetLatencyMs: TARGET_LATENCY_MS}, timeLeftMs: 2000}),
	});
	const sentTooLate = run.started.filter(({request, atMs}) => atMs >= request.deadlineMs);
	t.deepEqual(sentTooLate, []);
	t.true(countOf(run, 'refused', ({decidedMs}) => decidedMs >= 7000) > 0);
});

test('queued requests are refused at once when their last target is gone', t => {
	const run = runQueue({
		...burst, seed: 6, durationMs: 3000, requestsPerS: nowMs => nowMs < 2000 ? CAPACITY_PER_S * 1.5 : 0,
		messages: [0, 1].map(id => ({atMs: 2000, message: {kind: 'target-gone', id: `t${id}`}})),
	});
	const after = run.outcomes.filter(({decidedMs}) => decidedMs >= 2000);
	t.true(after.length > 0);
	t.true(after.every(({kind, reason, decidedMs}) => kind === 'refused' && reason === 'no-target' && decidedMs <= 2010));
});
