import test from 'ava';
import {TableWatcher} from '../../src/core/store-watch/table-watcher.js';
import {type WatchEffect} from '../../src/core/store-watch/types.js';
import {createRandom} from '../../tools/load/random.js';
import {runModel} from './_model.js';

const kindsOf = (effects: readonly WatchEffect[]): readonly string[] => effects.map(({kind}) => kind);

/** Returns a watcher that has read its table as of version 10 and waits for changes with call 2. */
const waitingWatcher = (): TableWatcher => {
	const watcher = new TableWatcher({pauseMs: 500, vms: () => 195, random: () => 0.5});
	watcher.handle({kind: 'start'}, 0);
	watcher.handle({kind: 'read', call: 1, version: 10}, 5);
	return watcher;
};

test('a VM whose connection stopped responding makes a new call when another VM reports a change', t => {
	const watcher = waitingWatcher();
	const [wake] = watcher.handle({kind: 'heard', version: 11}, 1000);
	t.is(wake?.kind, 'wake');
	t.deepEqual(kindsOf(watcher.handle({kind: 'tick'}, 1250)), ['drop', 'wait']);
});

test('a call that returns the reported change is not cancelled', t => {
	const watcher = waitingWatcher();
	watcher.handle({kind: 'heard', version: 11}, 1000);
	watcher.handle({
		kind: 'changes', call: 2, version: 12, lastChangeVersion: 11,
	}, 1010);
	t.deepEqual(kindsOf(watcher.handle({kind: 'tick'}, 1250)), ['wake']);
	t.is(watcher.lastChangeVersion, 11);
});

test('a call that began before the store was back is made again as soon as it serves another call', t => {
	t.deepEqual(kindsOf(waitingWatcher().handle({kind: 'regained'}, 1000)), ['drop', 'wait']);
});

test('a failed call is made again as soon as the store serves another one', t => {
	const watcher = waitingWatcher();
	t.deepEqual(kindsOf(watcher.handle({kind: 'failed', call: 2}, 1000)), ['wake']);
	t.deepEqual(kindsOf(watcher.handle({kind: 'regained'}, 1010)), ['wait']);
});

test('a table whose calls fail although others are served is called at increasing intervals', t => {
	const watcher = waitingWatcher();
	const callTimes: number[] = [];
	let call = 2;
	let effects = watcher.handle({kind: 'failed', call}, 1000);
	for (let nowMs = 1000; nowMs < 6000; nowMs += 10) {
		effects = [...watcher.handle({kind: 'regained'}, nowMs), ...effects];
		if (effects.some(({kind}) => kind === 'wait')) {
			call++;
			callTimes.push(nowMs);
			effects = watcher.handle({kind: 'failed', call}, nowMs);
		} else {
			effects = [];
		}
	}

	t.true(callTimes.length <= 8, `called at ${callTimes.join(' ')}`);
	t.true(callTimes.length >= 5, `called at ${callTimes.join(' ')}`);
});

test('the response to a cancelled call is ignored', t => {
	const watcher = waitingWatcher();
	watcher.handle({kind: 'heard', version: 11}, 1000);
	watcher.handle({kind: 'tick'}, 1250);
	t.deepEqual(watcher.handle({
		kind: 'changes', call: 2, version: 12, lastChangeVersion: 11,
	}, 1300), []);
	t.is(watcher.knownUpToVersion, 10);
});

test('false reports of a version cost at most one call a second', t => {
	const watcher = waitingWatcher();
	let calls = 0;
	let call = 2;
	for (let nowMs = 0; nowMs < 10_000; nowMs += 50) {
		watcher.handle({kind: 'heard', version: 1_000_000 + nowMs}, nowMs);
		for (const effect of watcher.handle({kind: 'tick'}, nowMs)) {
			if (effect.kind === 'wait') {
				calls++;
				({call} = effect);
			}
		}

		if (nowMs % 1000 === 0) {
			watcher.handle({
				kind: 'changes', call, version: 10, lastChangeVersion: undefined,
			}, nowMs);
			call++;
		}
	}

	t.true(calls <= 11, `${calls} calls in 10 s`);
});

/** Returns the average number of calls that a VM makes in a second while nothing changes. */
const idleCallsPerS = (vms: number): number => {
	const random = createRandom(3);
	let calls = 0;
	for (let vm = 0; vm < vms; vm++) {
		const watcher = new TableWatcher({pauseMs: 500, vms: () => vms, random: () => random.uniform()});
		watcher.handle({kind: 'start'}, 0);
		let effects = watcher.handle({kind: 'read', call: 1, version: 1}, 0);
		for (let nowMs = 0; nowMs < 300_000; calls++) {
			const [wait] = effects;
			if (wait?.kind !== 'wait') {
				break;
			}

			nowMs += wait.waitMs;
			effects = watcher.handle({
				kind: 'changes', call: wait.call, version: 1, lastChangeVersion: undefined,
			}, nowMs);
		}
	}

	return calls / vms / 300;
};

test('the calls of a VM while nothing changes do not grow with the fleet', t => {
	t.true(idleCallsPerS(300) <= idleCallsPerS(30) * 1.2);
	t.true(idleCallsPerS(1100) <= idleCallsPerS(300) * 1.2);
	// A VM watches two tables. Calls that follow a change, and those for the VM's own row, are not included.
	t.true(2 * idleCallsPerS(195) < 0.13);
});

const SEEDS = 2000;

test('a VM never applies an older version and catches up within 3 s, despite unresponsive connections, lost gossip, outages and pauses', t => {
	for (let seed = 1; seed <= SEEDS; seed++) {
		const {regressions, behindMs} = runModel(seed);
		t.is(regressions, 0, `seed ${seed}`);
		t.true(behindMs <= 3000, `seed ${seed}: ${behindMs} ms behind a change while undisturbed`);
	}
});

test('without gossip between VMs, VMs fall behind under the same faults', t => {
	const late = Array.from({length: 100}, (_, index) => runModel(index + 1, {hasGossip: false})).filter(({behindMs}) => behindMs > 3000);
	t.true(late.length > 10, `${late.length} of 100`);
});
