/** The platform client against the stand-in of the platform, over HTTP on loopback. */
import http from 'node:http';
import {type Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {request} from 'undici';
import {commit} from '../../src/runtime/platform/commit.js';
import {createPlatformClient} from '../../src/runtime/platform/platform-client.js';
import {createRetryBudget} from '../../src/runtime/platform/retry-budget.js';
import {type PlatformClient, type RetryReason, type Transaction} from '../../src/runtime/platform/types.js';
import {listen} from '../../src/runtime/entry/listen.js';
import {startPlatform} from '../../standins/platform/platform.js';
import {platformSettingsSchema} from '../../standins/platform/settings.js';

const timeoutMs = 300;
const random = () => 0.5;

type Setup = {
	readonly platform: PlatformClient;
	readonly retries: readonly RetryReason[];
	readonly control: (change: Record<string, unknown>) => Promise<void>;
};

const setUp = async (t: ExecutionContext): Promise<Setup> => {
	const standin = await startPlatform(platformSettingsSchema.parse({vmLagMs: 0}));
	const retries: RetryReason[] = [];
	const platform = createPlatformClient({
		origin: `http://${standin.address}`,
		random,
		timeoutMs,
		observer: {
			onRetry(reason) {
				retries.push(reason);
			},
		},
	});
	t.teardown(async () => {
		await platform.close();
		await standin.close();
	});
	const control = async (change: Record<string, unknown>): Promise<void> => {
		const res = await request(`http://${standin.address}/control`, {method: 'POST', body: JSON.stringify(change)});
		await res.body.dump();
	};

	return {platform, retries, control};
};

const write = (key: string, expectRevision: number | 'absent', operationId = 'op'): Transaction => ({
	operationId, operations: [{key, expectRevision, value: {operation_id: operationId}}],
});

test('rows are written by compare-and-set, listed and deleted', async t => {
	const {platform} = await setUp(t);
	t.deepEqual(await platform.readRow('leases', 'a/b@c'), {kind: 'absent'});
	t.like(await platform.transact('leases', write('a/b@c', 'absent')), {kind: 'ok', rows: [{key: 'a/b@c', revision: 1}]});
	t.like(await platform.transact('leases', write('a/b@c', 'absent')), {kind: 'conflict', conflicts: [{key: 'a/b@c', revision: 1}]});
	t.like(await platform.readRows('leases', 'a/', 10), {kind: 'found', value: [{key: 'a/b@c', revision: 1}]});
	await platform.transact('leases', {operationId: 'x', operations: [{key: 'a/b@c', expectRevision: 1, value: undefined}]});
	t.deepEqual(await platform.readRow('leases', 'a/b@c'), {kind: 'absent'});
	t.like(await platform.transact('leases', write('a/b@c', 1)), {kind: 'conflict', conflicts: [{key: 'a/b@c', revision: undefined, value: undefined}]});
});

test('objects and the VM list are read', async t => {
	const {platform, control} = await setUp(t);
	t.deepEqual(await platform.getObject('config/current'), {kind: 'absent'});
	t.deepEqual(await platform.putObject('config/current', '{}'), {ok: true});
	t.deepEqual(await platform.getObject('config/current'), {kind: 'found', value: '{}'});
	await control({
		put_vms: [{
			id: 'a', data_centre: 'galle', control: '127.0.0.1:1', admin: '127.0.0.1:2', started_ms: 5,
		}],
	});
	t.snapshot(await platform.listVms());
});

test('the result of a write whose response is lost is unknown, and a write during an outage is unavailable', async t => {
	const {platform, control} = await setUp(t);
	await control({lose_next_answers: 1});
	t.deepEqual(await platform.transact('leases', write('a', 'absent')), {kind: 'unknown'});
	await control({outage: 'refuse'});
	t.deepEqual(await platform.transact('leases', write('b', 'absent')), {kind: 'unavailable', reason: 'outage'});
	await control({outage: 'none'});
	t.like(await platform.readRow('leases', 'a'), {kind: 'found'});
	t.deepEqual(await platform.readRow('leases', 'b'), {kind: 'absent'});
});

test('the result of a write without a response within the timeout is unknown, and that of a read is unavailable', async t => {
	const {platform, control} = await setUp(t);
	await control({outage: 'hang'});
	t.deepEqual(await platform.transact('leases', write('a', 'absent')), {kind: 'unknown'});
	t.deepEqual(await platform.readRow('leases', 'a'), {kind: 'unavailable', reason: 'timeout'});
	await control({outage: 'none'});
});

test('a write whose connection is refused is unavailable, since it was not sent', async t => {
	const standin = await startPlatform(platformSettingsSchema.parse({}));
	await standin.close();
	const platform = createPlatformClient({origin: `http://${standin.address}`, random, timeoutMs});
	t.teardown(async () => platform.close());
	t.deepEqual(await platform.transact('leases', write('a', 'absent')), {kind: 'unavailable', reason: 'connection'});
});

test('failed reads are retried and the reasons of the retries are reported', async t => {
	const {platform, retries, control} = await setUp(t);
	await control({outage: 'refuse'});
	t.deepEqual(await platform.readRow('leases', 'a'), {kind: 'unavailable', reason: 'outage'});
	t.deepEqual(retries, ['outage', 'outage']);
});

test('a committed write whose response is lost is read back and not repeated', async t => {
	const {platform, control} = await setUp(t);
	await control({lose_next_answers: 1});
	const result = await commit({
		platform, table: 'config', transaction: write('current', 'absent'), random,
	});
	t.is(result.kind, 'ok');
	t.like(await platform.readRow('config', 'current'), {kind: 'found', value: {revision: 1}});
});

test('a commit that finds a row of another operation is a conflict', async t => {
	const {platform} = await setUp(t);
	await platform.transact('config', write('current', 'absent', 'other'));
	const result = await commit({
		platform, table: 'config', transaction: write('current', 'absent'), random,
	});
	t.is(result.kind, 'conflict');
});

test('a retry budget allows retries for a share of the calls, and a burst', t => {
	const budget = createRetryBudget(0.2, 2);
	const taken = Array.from({length: 100}, () => {
		budget.noteCall();
		return budget.take();
	});
	t.is(taken.filter(Boolean).length, 21);
});

test('after a call on a connection that went silent, the next one does not use another connection that did', async t => {
	const silent = new WeakSet<Socket>();
	const connections = new Set<Socket>();
	const server = http.createServer((req, res) => {
		connections.add(req.socket);
		if (!silent.has(req.socket)) {
			res.writeHead(404).end();
		}
	});
	const address = await listen(server, {host: '127.0.0.1', port: 0});
	const platform = createPlatformClient({origin: `http://${address}`, random, timeoutMs});
	t.teardown(async () => {
		await platform.close();
		server.closeAllConnections();
		server.close();
	});
	await Promise.all(Array.from({length: 4}, async () => platform.readRow('leases', 'a')));
	t.is(connections.size, 4);
	for (const connection of connections) {
		silent.add(connection);
	}

	await platform.transact('leases', write('a', 'absent'));
	const startMs = performance.now();
	t.deepEqual(await platform.readRow('leases', 'a'), {kind: 'absent'});
	t.true(performance.now() - startMs < timeoutMs, 'no further timeout');
});
