/**
 * Guards against acting, after a pause of the process, on state that expired during the pause:
 * grants for cold targets, permissions from the retry budget, fleet updates, the number of VMs
 * and readiness.
 */
import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {request} from 'undici';
import {createFleetSource} from '../../platform/fleet-source.js';
import {createStoreClient} from '../../platform/store-client.js';
import {handleAttempt, initialAttempt} from '../../src/core/attempt/attempt.js';
import {type AttemptMessage, type AttemptSpec, type AttemptState} from '../../src/core/attempt/types.js';
import {type Grant} from '../../src/core/dispatch/types.js';
import {FleetLoads} from '../../src/core/placement/fleet-loads.js';
import {silentLog} from '../../src/runtime/observe/log.js';
import {createMetrics} from '../../src/runtime/observe/metrics.js';
import {createFleetView} from '../../src/runtime/routing/fleet-view.js';
import {createPlacementScheduler} from '../../src/runtime/routing/placement-scheduler.js';
import {startWorksStore} from '../../standins/works/works-store.js';
import {startWorksTarget} from '../../standins/works/works-target.js';
import {startRouterProcess} from '../memory/_router-process.js';
import {
	createRequest, bounds, modelService, target,
} from '../placement/_service.js';
import {HOST, KEY, until} from '../platform/_platform.js';

const PAUSE_MS = 4000;
/** Milliseconds that the store takes to respond after the pause. */
const STORE_DELAY_MS = 300;

/** Starts a scheduler of one service with one target and a clock that the test advances. */
const startScheduler = (coldRemainingMs: number) => {
	let nowMs = 0;
	let isCurrent = true;
	const clock = {nowMs: () => nowMs};
	const view = createFleetView(silentLog);
	const scheduler = createPlacementScheduler({
		vm: 'vm-1', dataCentre: 'dc-a', bounds, clock, view, vms: () => ['vm-1'], log: silentLog, loads: new FleetLoads(), random: () => 0.5,
		isVmOverloaded: () => false, countOutcome: () => undefined, sendToPeer: () => undefined, isCurrent: () => isCurrent,
	});
	const config = {
		version: 1, routes: [], services: new Map([['tariff', modelService]]), teamsByKey: undefined,
		limits: {
			headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
		},
	};
	for (const update of [{kind: 'config', config} as const, {kind: 'all-targets', targets: [target('m1', {coldRemainingMs})]} as const]) {
		for (const change of view.apply(update)) {
			scheduler.onFleetUpdate(change);
		}
	}

	return {
		scheduler,
		advance(ms: number) {
			nowMs += ms;
		},
		setCurrent(value: boolean) {
			isCurrent = value;
		},
	};
};

test('a grant for a cold target is valid for 100 ms, the time by which the window of its rate limit is longer than a second', async t => {
	const {scheduler, advance} = startScheduler(60_000);
	t.teardown(scheduler.stop);
	const grant = await scheduler.submit(createRequest('a', 0)).granted;
	t.true(scheduler.isValid(grant));
	advance(90);
	t.true(scheduler.isValid(grant));
	advance(20);
	t.false(scheduler.isValid(grant));
});

test('a grant for a warm target is valid for a second, which includes the time of a pause', async t => {
	const {scheduler, advance} = startScheduler(0);
	t.teardown(scheduler.stop);
	const grant = await scheduler.submit(createRequest('a', 0)).granted;
	advance(999);
	t.true(scheduler.isValid(grant));
	advance(1);
	t.false(scheduler.isValid(grant));
});

test('after a pause nothing is granted or sent until the known state of the fleet is current', async t => {
	const {scheduler, setCurrent} = startScheduler(0);
	t.teardown(scheduler.stop);
	const early = await scheduler.submit(createRequest('a', 0)).granted;
	setCurrent(false);
	t.false(scheduler.isValid(early));
	const {granted} = scheduler.submit(createRequest('a', 0));
	t.is(await Promise.race([granted, delay(50, 'waits')]), 'waits');
	setCurrent(true);
	const late = await granted;
	t.true(scheduler.isValid(late));
});

// Guards against a timer for each waiting request, all of which check the state of the fleet every few milliseconds.
test.serial('requests that wait for the state of the fleet share one timer, and are granted in order; a withdrawn one is not', async t => {
	const {scheduler, setCurrent} = startScheduler(0);
	t.teardown(scheduler.stop);
	setCurrent(false);
	const {setTimeout: original} = globalThis;
	let timers = 0;
	globalThis.setTimeout = Object.assign((...args: Parameters<typeof original>) => {
		timers++;
		return original(...args);
	}, {__promisify__: original.__promisify__});
	const granted: string[] = [];
	const pending = ['a', 'b', 'c', 'd'].map(id => {
		const request = scheduler.submit(createRequest(id, 0));
		void request.granted.then(() => granted.push(id));
		return request;
	});
	globalThis.setTimeout = original;
	t.is(timers, 1);
	pending[1]?.withdraw();
	await delay(30);
	t.deepEqual(granted, []);
	setCurrent(true);
	await Promise.all([pending[0]?.granted, pending[2]?.granted, pending[3]?.granted]);
	await delay(1);
	t.deepEqual(granted, ['a', 'c', 'd']);
});

test('a permission from the retry budget expires after a second', t => {
	const grant: Grant = {
		grantId: 'g', target: 't', address: '127.0.0.1:1', epoch: 0n, instance: 't', expiresAtMs: Infinity,
	};
	const runRetry = (sentMs: number, budget: number) => {
		let taken = 0;
		const spec: AttemptSpec = {
			requestId: 'r', service: 's', repeat: 'safe', startByMs: 60_000, needsClaim: false, random: () => 0, maxTargets: 2, limitsDeclinedRetries: true,
			takeRetry() {
				taken++;
				return taken <= budget;
			},
		};
		const messages: ReadonlyArray<readonly [AttemptMessage, number]> = [
			[{kind: 'begin'}, 0],
			[{kind: 'granted', grant}, 0],
			[{kind: 'writing', valid: true}, 0],
			[{kind: 'failed', reason: 'link-broken', cost: 0}, 10],
			[{kind: 'granted', grant}, 10],
			[{kind: 'writing', valid: true}, sentMs],
		];
		let state: AttemptState = initialAttempt;
		for (const [message, nowMs] of messages) {
			({state} = handleAttempt(state, message, spec, nowMs));
		}

		return {taken, kind: state.kind};
	};

	t.deepEqual(runRetry(900, 1), {taken: 1, kind: 'sent'});
	t.deepEqual(runRetry(4000, 2), {taken: 2, kind: 'sent'}, 'a second permission is taken');
	t.deepEqual(runRetry(4000, 1), {taken: 2, kind: 'ended'}, 'the budget is used up');
});

test('VMs whose rows could not be read during a pause are still counted, so that no VM uses their shares of the limits', async t => {
	const store = await startWorksStore();
	for (const vm of ['edge-2', 'edge-3']) {
		store.put('vms', vm, {exchange: '127.0.0.1:9', round: 1});
	}

	let pausedMs = 0;
	const clock = {nowMs: () => performance.now() + pausedMs};
	const source = createFleetSource({
		client: createStoreClient({
			address: store.address, clock, metrics: createMetrics(), log: silentLog,
		}),
		vm: 'edge-1', exchange: '127.0.0.1:2', clock, log: silentLog, metrics: createMetrics(), drainMs: 2000, random: () => 0.5,
	});
	source.start(() => undefined);
	t.teardown(async () => {
		await source.stop();
		await store.close();
	});
	await until(t, () => source.vms().length === 3, 'VMs seen');
	pausedMs = 60_000;
	t.is(source.vms().length, 3);
});

type Put = (id: string, changes: Readonly<Record<string, unknown>>) => void;

/**
 * Pauses a router process while `change` writes to the store and requests arrive. Resolves to
 * the number of arrivals at `l1` after the pause, the status codes, and the readiness reply.
 */
const arrivalsAfterPause = async (t: ExecutionContext, change: (put: Put, drop: (id: string) => void) => Promise<void>) => {
	const [l1, l2] = await Promise.all([startWorksTarget({id: 'l1', stream: false}), startWorksTarget({id: 'l2', stream: false})]);
	t.teardown(async () => Promise.all([l1.close(), l2.close()]));
	const router = await startRouterProcess(t, {targets: {l1: l1.address, l2: l2.address}});
	const call = async (index: number): Promise<number> => {
		const {statusCode, body} = await request(`http://${router.callers}/look/${index}`, {
			headers: {
				host: HOST, 'x-api-key': KEY, 'x-attempt-id': `a${index}`, 'x-deadline-ms': '9000',
			},
		});
		await body.dump();
		return statusCode;
	};

	await Promise.all(Array.from({length: 20}, async (_, index) => call(index)));
	t.true(l1.arrivals().length > 0);
	const put: Put = (id, changes) => {
		router.store.put('servers', id, {
			service: 'ledger', address: id === 'l1' ? l1.address : l2.address, zone: 'dc-a', version: 'v1', slots: 400, state: 'ready', cold_remaining_ms: 0, sequence: 2, born: 1000, ...changes,
		});
	};

	router.signal('SIGSTOP');
	await delay(100);
	await change(put, id => {
		router.store.drop('servers', id);
	});
	const calls = Array.from({length: 40}, async (_, index) => call(100 + index));
	const ready = request(`http://${router.ready}/v1/readyz`).then(async ({statusCode, body}) => {
		await body.dump();
		return statusCode;
	});
	await delay(200);
	const before = l1.arrivals().length;
	// The readiness is asked for before the store has responded.
	router.store.delayRows(STORE_DELAY_MS);
	router.signal('SIGCONT');
	const statuses = await Promise.all(calls);
	await Promise.all(Array.from({length: 20}, async (_, index) => call(200 + index)));
	return {
		arrivals: l1.arrivals().length - before, statuses: new Set(statuses), ready: await ready,
	};
};

test.serial('a target that began to drain during a pause gets no request afterwards, and the VM is not ready until it has received the change', async t => {
	const {arrivals, statuses, ready} = await arrivalsAfterPause(t, async put => {
		// The first change ends the pending call to the store. Only a new call returns the second change.
		put('l2', {sequence: 3});
		await delay(PAUSE_MS / 2);
		put('l1', {state: 'draining'});
		await delay(PAUSE_MS / 2);
	});
	t.is(arrivals, 0);
	t.deepEqual(statuses, new Set([200]));
	t.is(ready, 503);
});

test.serial('a target that was removed during a pause gets no request afterwards: the pause is not treated as an outage of the store', async t => {
	const {arrivals, statuses} = await arrivalsAfterPause(t, async (_put, drop) => {
		drop('l1');
		await delay(PAUSE_MS);
	});
	t.is(arrivals, 0);
	t.deepEqual(statuses, new Set([200]));
});
