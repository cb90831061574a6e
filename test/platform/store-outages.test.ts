/** What a VM knows around outages of the store and of its connections, against the stand-in of the store. */
import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {type FleetUpdate} from '../../src/core/routing/types.js';
import {startWorksStore, type WorksStore} from '../../standins/works/works-store.js';
import {entryOf, sourceOf} from './_fleet-source.js';
import {configOf, until} from './_platform.js';

/** Milliseconds after the end of a disturbance from which a VM must keep the bounds again. */
const CONTACT_MS = 3000;
/** Milliseconds after an acknowledged change by which it must be in force: a configuration, or that a target has left. */
const BOUND_MS = 2000;
const OUTAGE_MS = 3000;
/** Calls for changes take 2.5 s at most and begin at other moments of the outage in each run. */
const PHASES_MS = Array.from({length: 10}, (_, index) => index * 350);

type Run = {
	readonly store: WorksStore;
	readonly updates: readonly FleetUpdate[];
	/** Returns the milliseconds from the call of this function until an update matches. */
	readonly measure: (isMatch: (update: FleetUpdate) => boolean, what: string) => Promise<number>;
};

/** Starts a source that knows the target `leaves` and configuration 7. */
const startRun = async (t: ExecutionContext): Promise<Run> => {
	const store = await startWorksStore();
	store.put('servers', 'leaves', entryOf());
	store.put('op', 'config', configOf(7));
	const source = sourceOf(store);
	const updates: FleetUpdate[] = [];
	source.start(update => {
		updates.push(update);
	});
	t.teardown(async () => {
		await source.stop();
		await store.close();
	});
	const waitFor = async (isMatch: (update: FleetUpdate) => boolean, what: string) => until(t, () => updates.some(update => isMatch(update)), what);
	await waitFor(({kind}) => kind === 'all-targets', 'targets read');
	await waitFor(({kind}) => kind === 'config', 'configuration read');
	return {
		store,
		updates,
		async measure(isMatch, what) {
			const startMs = performance.now();
			await waitFor(isMatch, what);
			return performance.now() - startMs;
		},
	};
};

const isGone = (update: FleetUpdate): boolean => update.kind === 'target-gone' && update.id === 'leaves';
const isConfig = (version: number) => (update: FleetUpdate): boolean => update.kind === 'config' && update.config.version === version;

/** Runs the same fault in each phase of the calls for changes, and returns the longest of the times measured. */
const longest = async (t: ExecutionContext, run: (run: Run) => Promise<number>): Promise<number> => {
	const times = await Promise.all(PHASES_MS.map(async phaseMs => {
		const started = await startRun(t);
		await delay(phaseMs);
		return run(started);
	}));
	t.log(times.map(ms => Math.round(ms)).join(' '));
	return Math.max(...times);
};

const playOutage = async (store: WorksStore): Promise<void> => {
	store.setMode('silent');
	await delay(OUTAGE_MS);
	store.setMode('well');
};

test('a configuration that was written soon after an outage of the store is in force in time, although a call from the outage gets no response', async t => {
	const ms = await longest(t, async ({store, measure}) => {
		await playOutage(store);
		await delay(160);
		store.put('op', 'config', configOf(8));
		return measure(isConfig(8), 'configuration in force');
	});
	t.true(ms <= CONTACT_MS - 160, `${ms} ms`);
});

test('a target that leaves after the end of an outage of the store is dropped in time, although a call from the outage fails late', async t => {
	const ms = await longest(t, async ({store, measure}) => {
		await playOutage(store);
		await delay(CONTACT_MS);
		store.drop('servers', 'leaves');
		return measure(isGone, 'target gone');
	});
	t.true(ms <= BOUND_MS, `${ms} ms`);
});

test('a target that leaves after one call of a VM was refused is dropped in time', async t => {
	const ms = await longest(t, async ({store, measure}) => {
		store.rejectNext(1);
		// Ends a call that waits for changes; the next one is refused.
		store.put('op', 'config', configOf(8));
		await measure(isConfig(8), 'configuration in force');
		await delay(300);
		store.drop('servers', 'leaves');
		return measure(isGone, 'target gone');
	});
	t.true(ms <= BOUND_MS, `${ms} ms`);
});

test('what changes while all connections to the store are silent is known in time through new ones, although no other VM reports it', async t => {
	const ms = await longest(t, async ({store, measure}) => {
		store.silenceConnections();
		await delay(160);
		store.drop('servers', 'leaves');
		store.put('op', 'config', configOf(8));
		const times = await Promise.all([measure(isGone, 'target gone'), measure(isConfig(8), 'configuration in force')]);
		return Math.max(...times);
	});
	t.true(ms <= CONTACT_MS - 160, `${ms} ms`);
});

test('a target that leaves is dropped in time although the idle connections went silent just before, in the pause after another change', async t => {
	const ms = await longest(t, async ({store, measure}) => {
		store.put('servers', 'other', entryOf());
		await measure(update => update.kind === 'target' && update.target.id === 'other', 'other target read');
		store.silenceIdleConnections();
		await delay(160);
		store.drop('servers', 'leaves');
		return measure(isGone, 'target gone');
	});
	t.true(ms <= CONTACT_MS - 160, `${ms} ms`);
});

test('reads from an outage that fail after it do not make the store count as lost again', async t => {
	const store = await startWorksStore();
	const source = sourceOf(store);
	t.teardown(async () => {
		await source.stop();
		await store.close();
	});
	store.setMode('silent');
	const kinds: string[] = [];
	source.start(({kind}) => {
		kinds.push(kind);
	});
	await until(t, () => kinds.includes('source-lost'), 'store lost');
	await delay(100);
	store.setMode('well');
	await until(t, () => kinds.includes('source-regained'), 'store regained');
	await delay(CONTACT_MS);
	t.is(kinds.filter(kind => kind === 'source-lost').length, 1);
});

// Blocks the event loop, which the other tests of this file share.
test.serial('a target that leaves after the process stood still for seconds is dropped in time', async t => {
	const {store, measure} = await startRun(t);
	await delay(500);
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 3200);
	store.drop('servers', 'leaves');
	const ms = await measure(isGone, 'target gone');
	t.true(ms <= 1000, `${ms} ms`);
});

test('targets whose entries expired in an outage of the store and are back 2 s after it stay in use', async t => {
	const {store, measure, updates} = await startRun(t);
	store.setMode('silent');
	await delay(OUTAGE_MS + 500);
	store.drop('servers', 'leaves');
	store.setMode('well');
	await delay(2000);
	store.put('servers', 'leaves', entryOf());
	store.put('op', 'config', configOf(8));
	await measure(isConfig(8), 'configuration in force');
	await delay(1500);
	t.false(updates.some(update => isGone(update)));
});
