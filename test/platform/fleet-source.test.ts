import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {createFleetSource} from '../../platform/fleet-source.js';
import {createStoreClient} from '../../platform/store-client.js';
import {type FleetUpdate} from '../../src/core/routing/types.js';
import {createMetrics} from '../../src/runtime/observe/metrics.js';
import {startWorksStore, type WorksStore} from '../../standins/works/works-store.js';
import {silentLog} from '../../src/runtime/observe/log.js';
import {monotonicClock} from '../../src/runtime/monotonic-clock.js';
import {until} from './_platform.js';

const sourceOf = (store: WorksStore) => createFleetSource({
	client: createStoreClient({address: store.address, clock: monotonicClock, metrics: createMetrics()}),
	vm: 'edge-1',
	exchange: '127.0.0.1:2',
	clock: monotonicClock,
	log: silentLog,
	drainMs: 2000,
	random: () => 0.5,
});

/** Starts a source that ends with the test, and collects its news. */
const startSource = (t: ExecutionContext, store: WorksStore) => {
	const source = sourceOf(store);
	const news: FleetUpdate[] = [];
	source.start(item => {
		news.push(item);
	});
	t.teardown(async () => {
		await source.stop();
		await store.close();
	});
	return {source, news};
};

const entryOf = (address: string) => ({
	service: 'tariff', address, zone: 'dc-a', version: 'v1', slots: 8, state: 'ready', cold_remaining_ms: 0, sequence: 1, born: 1000,
});

test('a target that came by a change and left while history was lost is told as gone', async t => {
	const store = await startWorksStore();
	store.put('servers', 'stays', entryOf('127.0.0.1:1'));
	const {news} = startSource(t, store);

	await until(t, () => news.some(({kind}) => kind === 'all-targets'), 'targets read');
	store.put('servers', 'comes', entryOf('127.0.0.1:3'));
	await until(t, () => news.some(item => item.kind === 'target' && item.target.id === 'comes'), 'the change told');
	store.drop('servers', 'comes');
	store.loseHistory();
	await until(t, () => news.some(item => item.kind === 'target-gone' && item.id === 'comes'), 'told as gone');
	t.false(news.some(item => item.kind === 'target-gone' && item.id === 'stays'));
});

test('a table that does not change takes no call before its wait is over', async t => {
	const store = await startWorksStore();
	const {news} = startSource(t, store);
	await until(t, () => news.some(({kind}) => kind === 'all-targets'), 'targets read');
	// The first rounds of the VM's own row follow fast; the next one comes seconds later.
	await delay(2400);
	const before = store.calls();
	await delay(2000);
	t.true(store.calls() - before <= 2, `${store.calls() - before} calls in 2 s, of two tables with waits of 2.5 s`);
});

test('a store that turns a VM away is asked less and less often', async t => {
	const store = await startWorksStore();
	store.setMood('unavailable');
	const {news} = startSource(t, store);
	await delay(2000);
	const before = store.calls();
	await delay(3000);
	t.true(store.calls() - before <= 10, `${store.calls() - before} calls in 3 s, of two tables once a second and a VM's row`);
	store.setMood('well');
	await delay(1500);
	t.true(news.some(({kind}) => kind === 'all-targets'), 'read soon after the return');
});

const leavingTarget = async (t: ExecutionContext, storeAgeMs: number) => {
	const store = await startWorksStore();
	store.put('servers', 'leaves', entryOf('127.0.0.1:1'));
	const {source, news} = startSource(t, store);
	await until(t, () => news.some(({kind}) => kind === 'all-targets'), 'targets read');
	const startMs = performance.now();
	const timer = setInterval(() => {
		source.onFreshness({versions: new Map(), storeAgeMs: storeAgeMs + performance.now() - startMs});
	}, 50);
	await delay(300);
	store.drop('servers', 'leaves');
	const droppedMs = performance.now();
	await until(t, () => news.some(item => item.kind === 'target-gone' && item.id === 'leaves'), 'told as gone');
	clearInterval(timer);
	return performance.now() - droppedMs;
};

test('a target whose entry is removed is gone at once, though some VM can\'t reach the store', async t => {
	t.true(await leavingTarget(t, 20_000) < 1000);
});
