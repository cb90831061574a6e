import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {type FleetUpdate} from '../../src/core/routing/types.js';
import {startWorksStore, type WorksStore} from '../../standins/works/works-store.js';
import {entryOf, sourceOf} from './_fleet-source.js';
import {until} from './_platform.js';

/** Starts a source that stops at the end of the test, and collects its updates. */
const startSource = (t: ExecutionContext, store: WorksStore) => {
	const source = sourceOf(store);
	const updates: FleetUpdate[] = [];
	source.start(item => {
		updates.push(item);
	});
	t.teardown(async () => {
		await source.stop();
		await store.close();
	});
	return {source, updates};
};

test('a target that was added by a change and removed before the store discarded its history is reported as gone', async t => {
	const store = await startWorksStore();
	store.put('servers', 'stays', entryOf({address: '127.0.0.1:1'}));
	const {updates} = startSource(t, store);

	await until(t, () => updates.some(({kind}) => kind === 'all-targets'), 'targets read');
	store.put('servers', 'comes', entryOf({address: '127.0.0.1:3'}));
	await until(t, () => updates.some(item => item.kind === 'target' && item.target.id === 'comes'), 'the added target reported');
	store.drop('servers', 'comes');
	store.discardHistory();
	await until(t, () => updates.some(item => item.kind === 'target-gone' && item.id === 'comes'), 'reported as gone');
	t.false(updates.some(item => item.kind === 'target-gone' && item.id === 'stays'));
});

test('a watched table that does not change costs no call before the wait of the last one ends', async t => {
	const store = await startWorksStore();
	const {updates} = startSource(t, store);
	await until(t, () => updates.some(({kind}) => kind === 'all-targets'), 'targets read');
	// The VM reads the rows of all VMs twice within about 2 s of its start; the next read is seconds later.
	await delay(2400);
	const before = store.calls();
	await delay(2000);
	t.true(store.calls() - before <= 2, `${store.calls() - before} calls in 2 s, expected two tables with waits of 1.8 s`);
});

test('a store that rejects the calls of a VM is called at increasing intervals', async t => {
	const store = await startWorksStore();
	store.setMode('unavailable');
	const {updates} = startSource(t, store);
	await delay(2000);
	const before = store.calls();
	await delay(3000);
	t.true(store.calls() - before <= 10, `${store.calls() - before} calls in 3 s, expected two tables once a second and a VM's row`);
	store.setMode('well');
	await delay(1500);
	t.true(updates.some(({kind}) => kind === 'all-targets'), 'targets read soon after the store has recovered');
});

/** Returns the milliseconds from the removal of a target's entry until the source reports the target as gone. Meanwhile another VM reports that its last response from the store is at least `storeAgeMs` old. */
const measureRemovalMs = async (t: ExecutionContext, storeAgeMs: number) => {
	const store = await startWorksStore();
	store.put('servers', 'leaves', entryOf({address: '127.0.0.1:1'}));
	const {source, updates} = startSource(t, store);
	await until(t, () => updates.some(({kind}) => kind === 'all-targets'), 'targets read');
	const startMs = performance.now();
	const timer = setInterval(() => {
		source.onFreshness({versions: new Map(), storeAgeMs: storeAgeMs + performance.now() - startMs, outageAgeMs: undefined});
	}, 50);
	await delay(300);
	store.drop('servers', 'leaves');
	const droppedMs = performance.now();
	await until(t, () => updates.some(item => item.kind === 'target-gone' && item.id === 'leaves'), 'reported as gone');
	clearInterval(timer);
	return performance.now() - droppedMs;
};

test('a target whose entry is removed is reported as gone at once, even if another VM cannot reach the store', async t => {
	t.true(await measureRemovalMs(t, 20_000) < 1000);
});
