import test from 'ava';
import {
	countOf, runQueue, type QueueLoad, type QueueRun,
} from './_queue-load.js';

const TARGET_LATENCY_MS = 300;
const CAPACITY_PER_S = 120;

const servedShare = (run: QueueRun, kind: string): number => {
	const served = countOf(run, 'in-time', ({request}) => request.kind === kind) + countOf(run, 'late', ({request}) => request.kind === kind);
	return served / run.outcomes.filter(({request}) => request.kind === kind).length;
};

/** A load of twice the capacity for 8 s, of which a third is less urgent. */
const overload: Omit<QueueLoad, 'seed'> = {
	vms: 58,
	targets: 2,
	slots: 6,
	serviceMs: draw => 50 + (100 * draw),
	durationMs: 8000,
	requestsPerS: () => CAPACITY_PER_S * 2,
	requestOf: (draw, index) => ({
		team: `team-${index % 6}`, timeLeftMs: 2000,
		placement: {targetLatencyMs: TARGET_LATENCY_MS, ...(draw < 1 / 3 ? {kind: 'lookup', priority: 2} : {kind: 'order', priority: 0})},
	}),
};

test('more urgent requests are served more often, and less urgent ones do not starve', t => {
	for (const vms of [7, 58]) {
		for (const seed of [1, 2, 3]) {
			const run = runQueue({...overload, seed, vms});
			const urgent = servedShare(run, 'order');
			const lessUrgent = servedShare(run, 'lookup');
			const overall = run.started.length / run.outcomes.length;
			t.true(urgent > lessUrgent, `${vms} VMs, seed ${seed}: ${urgent} and ${lessUrgent} served`);
			t.true(lessUrgent >= overall / 4, `${vms} VMs, seed ${seed}: ${lessUrgent} of the less urgent, ${overall} of all served`);
		}
	}
});

test('requests without a priority are served less often than urgent ones and more often than those marked as less urgent', t => {
	const run = runQueue({
		...overload, seed: 4, requestOf: (_, index) => ({
			team: `team-${index % 6}`, timeLeftMs: 2000,
			placement: {targetLatencyMs: TARGET_LATENCY_MS, kind: ['a', 'b', 'c'][index % 3]!, ...(index % 3 !== 1 && {priority: index % 3})},
		}),
	});
	t.true(servedShare(run, 'a') > servedShare(run, 'b'));
	t.true(servedShare(run, 'b') > servedShare(run, 'c'));
});

test('teams of one priority are served equally, whatever their demand', t => {
	// One team sends three times as many requests as the other, and both are backlogged.
	const run = runQueue({
		...overload, seed: 5, requestOf: (_, index) => ({
			team: index % 4 === 0 ? 'small' : 'large', timeLeftMs: 2000, placement: {targetLatencyMs: TARGET_LATENCY_MS, kind: 'order', priority: 1},
		}), requestsPerS: () => CAPACITY_PER_S * 4,
	});
	const small = run.started.filter(({request, atMs}) => request.team === 'small' && atMs > 2000).length;
	const large = run.started.filter(({request, atMs}) => request.team === 'large' && atMs > 2000).length;
	t.true(Math.abs(small - large) <= (small + large) * 0.05, `${small} and ${large}`);
});
