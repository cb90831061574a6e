import test, {type ExecutionContext} from 'ava';
import {type FleetConfig} from '../../src/core/config/fleet-config.js';
import {startLedger} from '../../standins/ledger/ledger.js';
import {ledgerSettingsSchema} from '../../standins/ledger/settings.js';
import {clientOf, dump, recordOf} from '../standins/_client.js';
import {
	config, grantingScheduler, startTestEntry, until,
} from './_entry.js';

const debit = {account: 'a', amount: 3, debit_id: 'd1'};

const withLedger = async (t: ExecutionContext, cfg: FleetConfig = config, settings: Readonly<Record<string, unknown>> = {}) => {
	const ledger = await startLedger(ledgerSettingsSchema.parse({serviceMs: 1, warmAfter: 0, ...settings}));
	const control = clientOf(t, ledger);
	const scheduler = grantingScheduler(() => ledger.address);
	const entry = await startTestEntry(t, {scheduler, config: () => cfg});
	return {
		ledger, control, scheduler, ...entry,
	};
};

const runsOf = async (control: Parameters<typeof recordOf>[0]) => {
	const {runs} = await recordOf(control);
	return runs.length;
};

test('a debit whose response is lost is not sent again, and its outcome is reported as unknown', async t => {
	const {call, control, scheduler} = await withLedger(t);
	await dump(control('POST', '/control', {lose_answer: true}));
	const res = await call('/services/ledger/debits', {body: debit});
	t.is(res.statusCode, 502);
	t.like(await res.body.json(), {error: {name: 'OutcomeUnknown', not_run: false}});
	t.is(await runsOf(control), 1);
	t.like(scheduler.ends, [{kind: 'failed'}]);
});

test('a debit whose response is lost runs twice if the service allows retries', async t => {
	const services = {...config.services, ledger: {...config.services.lookup!}};
	const {call, control, count} = await withLedger(t, {...config, services});
	await dump(control('POST', '/control', {lose_answer: true}));
	const res = await call('/services/ledger/debits', {body: debit});
	t.is(res.statusCode, 200);
	await res.body.dump();
	t.is(await runsOf(control), 2);
	t.is(await count('retries', {reason: 'failed'}), 1);
});

test('a debit that an overloaded target rejects before execution runs once, at the next attempt', async t => {
	const {call, control, scheduler} = await withLedger(t, config, {maxRunning: 1, serviceMs: 200});
	const results = await Promise.all([call('/services/ledger/debits', {body: debit}), call('/services/ledger/debits', {body: {...debit, debit_id: 'd2'}})]);
	t.deepEqual(results.map(res => res.statusCode), [200, 200]);
	await Promise.all(results.map(async res => res.body.dump()));
	t.is(await runsOf(control), 2);
	t.true(scheduler.ends.some(end => end.kind === 'overloaded'));
});

test('a debit with an outdated lease epoch is rejected before execution and submitted again', async t => {
	const ledger = await startLedger(ledgerSettingsSchema.parse({serviceMs: 1, warmAfter: 0, checksFencing: true}));
	const control = clientOf(t, ledger);
	let epoch = 8n;
	const scheduler = grantingScheduler(() => ledger.address, () => ({epoch}));
	const {call, count} = await startTestEntry(t, {scheduler});
	await dump(call('/services/ledger/debits', {body: debit}));
	epoch = 5n;
	const late = call('/services/ledger/debits', {body: {...debit, debit_id: 'd2'}});
	await until(() => scheduler.ends.some(end => end.kind === 'refused'));

	epoch = 9n;
	const res = await late;
	t.is(res.statusCode, 200);
	await res.body.dump();
	t.is(await runsOf(control), 2);
	t.true(await count('retries', {reason: 'fenced'}) >= 1);
});

test('a request to a target that refuses connections was not executed and is sent to another target', async t => {
	const {ledger, control} = await withLedger(t);
	let requests = 0;
	const scheduler = grantingScheduler(() => {
		requests += 1;
		return requests === 1 ? '127.0.0.1:1' : ledger.address;
	});
	const {call, count} = await startTestEntry(t, {scheduler});
	const res = await call('/services/ledger/debits', {body: debit});
	t.is(res.statusCode, 200);
	await res.body.dump();
	t.deepEqual(scheduler.ends.map(end => end.kind), ['unsent', 'answered']);
	t.is(await count('retries', {reason: 'not-connected'}), 1);
	t.is(await runsOf(control), 1);
});

test('a grant that has expired before the first byte is not used', async t => {
	const {ledger, control} = await withLedger(t);
	let grants = 0;
	const scheduler = grantingScheduler(() => ledger.address, () => {
		grants += 1;
		return grants === 1 ? {expiresAtMs: 0} : {};
	});
	const {call} = await startTestEntry(t, {scheduler});
	const res = await call('/services/ledger/debits', {body: debit});
	t.is(res.statusCode, 200);
	await res.body.dump();
	t.deepEqual(scheduler.ends.map(end => end.kind), ['unsent', 'answered']);
	t.is(await runsOf(control), 1);
});

test('a request is sent with an expired grant if the validity of grants is not checked', async t => {
	const {ledger, control} = await withLedger(t);
	const checking = grantingScheduler(() => ledger.address, () => ({expiresAtMs: 0}));
	const {call} = await startTestEntry(t, {scheduler: {...checking, isValid: () => true}});
	await dump(call('/services/ledger/debits', {body: debit}));
	t.deepEqual(checking.ends.map(end => end.kind), ['answered']);
	t.is(await runsOf(control), 1);
});

test('a debit whose caller disconnects runs to its end, and its slot is released only then', async t => {
	const {call, control, scheduler} = await withLedger(t, config, {serviceMs: 1000});
	const abort = new AbortController();
	const abortedCall = call('/services/ledger/debits', {body: debit, signal: abort.signal});
	await until(async () => {
		const {running} = await recordOf(control);
		return running === 1;
	});

	abort.abort();
	await Promise.allSettled([abortedCall]);
	t.deepEqual(scheduler.ends, []);
	await until(() => scheduler.ends.length > 0);

	t.like(scheduler.ends, [{kind: 'answered', cost: 1}]);
	t.is(await runsOf(control), 1);
});

test('a response to another request is not passed on', async t => {
	const {call, control, count} = await withLedger(t);
	await dump(call('/services/ledger/debits', {body: debit}));
	await dump(control('POST', '/control', {crossed_answer: true}));
	const res = await call('/services/ledger/debits', {body: {...debit, debit_id: 'd2'}});
	t.like(await res.body.json(), {error: {name: 'OutcomeUnknown', not_run: false}});
	t.is(await count('droppedAnswers', {reason: 'crossed'}), 1);
});

test('a debit that exceeds its run time ends as unknown, and its late response reaches no caller', async t => {
	const services = {...config.services, ledger: {...config.services.ledger!, maxRunMs: 50}};
	const {call, scheduler} = await withLedger(t, {...config, services}, {serviceMs: 200});
	const res = await call('/services/ledger/debits', {body: debit});
	t.like(await res.body.json(), {error: {name: 'OutcomeUnknown', not_run: false}});
	t.like(scheduler.ends, [{kind: 'failed'}]);
	const next = await call('/services/lookup/x', {method: 'GET'});
	t.like(await next.body.json(), {path: '/x', request_id: next.headers['x-request-id']});
});
