import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {type WorksTarget} from '../../standins/works/works-target.js';
import {
	configOf, KEY, startPlatform, until, completeStream, type CallOptions, type Platform,
} from './_platform.js';

const executedAt = (...targets: readonly WorksTarget[]) => targets.flatMap(target => target.arrivals()).filter(({ran}) => ran).length;
const statusOf = async (call: Platform['call'], path: string, options: CallOptions = {}): Promise<number> => {
	const {status} = await call(path, options);
	return status;
};

const post = {method: 'POST', body: 'parcel'} as const;

test('a request is forwarded unchanged, except for the headers that only the system sets', async t => {
	const {call, ledgers} = await startPlatform(t);
	const res = await call('/debit/7?x=1', {
		...post, headers: {
			'x-tenant': 'someone', 'x-hold': 'h', 'x-pin-ms': '9', 'kv-from': '1.2.3.4:5/6', 'x-custom': 'kept',
		},
	});
	t.is(res.status, 200);
	t.regex(res.body, /^done by l[12]$/v);
	t.truthy(res.headers['x-server-stamp']);
	const [arrival] = ledgers.flatMap(target => target.arrivals());
	t.like(arrival, {method: 'POST', path: '/debit/7?x=1', body: 'parcel'});
	const {'x-tenant': team, 'x-api-key': key, 'x-hold': hold, 'x-pin-ms': pin, 'kv-from': from, 'x-custom': custom, 'x-expect-instance': expected, 'x-deadline-ms': waits} = arrival?.headers ?? {};
	t.deepEqual({
		team, key, hold, pin, from, custom,
	}, {
		team: 'couriers', key: undefined, hold: undefined, pin: undefined, from: undefined, custom: 'kept',
	});
	t.regex(String(expected), /^l[12]$/v);
	t.true(Number(waits) <= 4000 && Number(waits) > 3000);
});

test('a request with an unknown key or path is refused with 401 or 404, but a public route needs no key', async t => {
	const {call, ledgers, models} = await startPlatform(t);
	t.is(await statusOf(call, '/brief/1', {...post, headers: {'x-api-key': 'unknown'}}), 401);
	t.is(await statusOf(call, '/nowhere/1'), 404);
	t.is(await statusOf(call, '/look/1', {headers: {'x-api-key': 'unknown'}}), 200);
	t.is(executedAt(...models), 0);
	t.is(executedAt(...ledgers), 1);
});

test('a stream is forwarded completely', async t => {
	const {call} = await startPlatform(t);
	const res = await call('/brief/1', {
		...post, headers: {
			'x-model': 'm', 'x-token-count': '1460,80', 'x-prompt-prefix': '5c1e07a2:800,91bd3f06:410,e4402b7d:250',
		},
	});
	t.like(res, {status: 200, body: completeStream, cut: false});
});

test('a stream that breaks in the middle of an event is resumed at another target', async t => {
	const {call, models} = await startPlatform(t);
	for (const target of models) {
		target.injectFaults('break-stream');
	}

	const res = await call('/brief/1', post);
	t.like(res, {status: 200, body: completeStream, cut: false});
	const arrivals = models.flatMap(target => target.arrivals());
	t.is(arrivals.length, 2);
	t.true(arrivals.some(({headers}) => headers['last-event-id'] === '3'));
});

test('a broken stream that may not be resumed is truncated, and its request is executed once', async t => {
	const {call, models} = await startPlatform(t);
	for (const target of models) {
		target.injectFaults('break-stream');
	}

	const res = await call('/chat/1', post);
	t.is(res.status, 200);
	t.true(res.cut);
	t.is(executedAt(...models), 1);
});

test('a non-idempotent request whose connection is reset by the target is not retried', async t => {
	const {call, ledgers} = await startPlatform(t);
	for (const target of ledgers) {
		target.injectFaults('reset');
	}

	const res = await call('/debit/1', post);
	t.is(res.status, 502);
	t.is(res.headers['retry-after'], undefined);
	t.is(executedAt(...ledgers), 1);
});

test('a request that its target did not execute is sent to another target', async t => {
	const {call, ledgers} = await startPlatform(t);
	for (const fault of ['decline', 'other-process'] as const) {
		for (const target of ledgers) {
			target.injectFaults(fault);
		}

		// eslint-disable-next-line no-await-in-loop -- faults are for one request
		const res = await call('/debit/1', post);
		t.true(res.status === 200 || (res.status === 503 && res.headers['retry-after'] !== undefined), `status ${res.status}`);
	}

	t.true(executedAt(...ledgers) <= 2);
});

test('a rejection that belongs to another request does not cause a retry', async t => {
	const {call, ledgers} = await startPlatform(t);
	for (const target of ledgers) {
		target.injectFaults('crossed-decline');
	}

	const res = await call('/debit/1', post);
	t.is(res.status, 502);
	t.is(ledgers.flatMap(target => target.arrivals()).length, 1);
});

test('an error response is retried at another target if the route allows it, and forwarded otherwise', async t => {
	const {call, ledgers} = await startPlatform(t);
	ledgers[0].injectFaults('error');
	ledgers[1].injectFaults('error');
	const lookup = await call('/look/1');
	t.true(lookup.status === 500 || lookup.status === 200);
	t.is(ledgers.flatMap(target => target.arrivals()).length, 2);
	ledgers[0].injectFaults('error');
	ledgers[1].injectFaults('error');
	const debit = await call('/debit/1', post);
	t.like(debit, {status: 500, body: 'failed'});
	t.truthy(debit.headers['x-server-stamp']);
});

test('a response without a length whose connection is reset is not passed on as complete', async t => {
	const {call, ledgers} = await startPlatform(t);
	for (const target of ledgers) {
		target.injectFaults('reset-without-length');
	}

	const res = await call('/debit/1', post);
	t.true(res.cut || res.status === 502);
});

test('a response without a length whose reset arrives together with its last bytes is not passed on as complete', async t => {
	const {call, ledgers} = await startPlatform(t);
	for (const target of ledgers) {
		target.injectFaults('reset-with-last-bytes');
	}

	const res = await call('/debit/1', post);
	t.true(res.cut || res.status === 502);
});

test('a request to an unresponsive target is cancelled and sent to another target', async t => {
	const {call, ledgers} = await startPlatform(t);
	ledgers[0].injectFaults('silent');
	ledgers[1].injectFaults('silent');
	const res = await call('/look/1');
	t.is(ledgers.flatMap(target => target.arrivals()).length, 2);
	t.true(ledgers.some(target => target.cancelled() > 0));
	t.true([502, 504].includes(res.status));
});

test('a paused stream is resumed at another target only if the route allows it, and is otherwise not ended early', async t => {
	const {call, models} = await startPlatform(t);
	for (const target of models) {
		target.injectFaults('pause-stream');
	}

	t.like(await call('/chat/1', post), {status: 200, body: completeStream, cut: false});
	t.is(executedAt(...models), 1);
	const paused = models.find(target => target.arrivals().length === 0);
	t.is(paused?.cancelled(), 0);
	t.like(await call('/brief/1', post), {status: 200, body: completeStream, cut: false});
});

test('the request of a caller that disconnects is cancelled at its target', async t => {
	const {call, models} = await startPlatform(t);
	for (const target of models) {
		target.injectFaults('silent');
	}

	const left = new AbortController();
	const answer = call('/chat/1', {...post, signal: left.signal});
	await until(t, () => executedAt(...models) === 1, 'the request has arrived');
	left.abort();
	t.is(await answer.then(() => 'answered', () => 'left'), 'left');
	await until(t, () => models.some(target => target.cancelled() > 0), 'the request is cancelled');
});

test('a revoked API key is refused also on open connections', async t => {
	const {call, store} = await startPlatform(t);
	t.is(await statusOf(call, '/brief/1', post), 200);
	store.put('op', 'config', configOf(9, {tenants: [{name: 'couriers', api_keys: ['another'], priority: 1}]}));
	await until(t, async () => await statusOf(call, '/brief/1', post) === 401, 'the key is refused');
	t.is(await statusOf(call, '/brief/1', {...post, headers: {'x-api-key': 'another'}}), 200);
});

test('an older version of the configuration is not applied after a newer one', async t => {
	const {call, store} = await startPlatform(t);
	store.put('op', 'config', configOf(9, {tenants: [{name: 'couriers', api_keys: ['another'], priority: 1}]}));
	await until(t, async () => await statusOf(call, '/brief/1', post) === 401, 'version 9 is active');
	store.put('op', 'config', configOf(8));
	await delay(300);
	t.is(await statusOf(call, '/brief/1', {...post, headers: {'x-api-key': KEY}}), 401);
});

test('draining targets and targets in a data centre taken out of service receive no new requests', async t => {
	const {call, ledgers, announce, store} = await startPlatform(t);
	announce(ledgers[0], {state: 'draining', sequence: 2});
	await delay(1200);
	for (let count = 0; count < 6; count++) {
		await call('/look/1'); // eslint-disable-line no-await-in-loop
	}

	t.is(executedAt(ledgers[0]), 0);
	store.put('op', 'evacuate/dc-a', {});
	await until(t, async () => await statusOf(call, '/look/1') === 503, 'no target is left');
	store.drop('op', 'evacuate/dc-a');
	await until(t, async () => await statusOf(call, '/look/1') === 200, 'the data centre is in service again');
});

test('entries in the targets\' table from other writers are not used as targets', async t => {
	const {call, store, ledgers} = await startPlatform(t);
	store.putBytes('servers', 'forged-1', new Uint8Array([0xFF, 0xFE, 0]));
	store.put('servers', 'forged-2', {
		service: 'ledger', address: 'localhost', zone: 'dc-a', slots: 'six',
	});
	store.put('servers', 'forged-3', {
		service: 'ledger', address: ledgers[0].address, zone: 'dc-a', slots: 6, state: 'retired', cold_remaining_ms: 0, sequence: 1,
	});
	await delay(900);
	for (let count = 0; count < 5; count++) {
		t.is(await statusOf(call, '/look/1'), 200); // eslint-disable-line no-await-in-loop
	}
});

test('the router serves with its last known state while the store is unavailable, and catches up afterwards', async t => {
	const {call, store, ledgers} = await startPlatform(t);
	store.setMode('unavailable');
	await delay(1500);
	t.is(await statusOf(call, '/look/1'), 200);
	store.drop('servers', ledgers[0].id);
	store.discardHistory();
	store.put('op', 'config', configOf(9, {tenants: []}));
	store.setMode('well');
	await until(t, async () => await statusOf(call, '/brief/1', post) === 401, 'the new version is active');
	await delay(3500);
	const before = executedAt(ledgers[0]);
	for (let count = 0; count < 5; count++) {
		t.is(await statusOf(call, '/look/1'), 200); // eslint-disable-line no-await-in-loop
	}

	t.is(executedAt(ledgers[0]), before, 'a target whose entry was not written again is not used');
});

test('a stopping router is not ready at once and lets open streams end', async t => {
	const {call, router, ready} = await startPlatform(t);
	const answer = call('/brief/1', post);
	await delay(10);
	const stopped = router.stop();
	const res = await fetch(`http://${ready}/v1/readyz`);
	t.is(res.status, 503);
	t.like(await answer, {status: 200, body: completeStream, cut: false});
	await stopped;
});
