import test from 'ava';
import {request} from 'undici';
import {fleetConfigSchema} from '../../src/core/config/fleet-config.js';
import {startFakeRouter, TOKEN, type FakeOptions} from './fake-router.js';

type AdminResponse = {readonly status: number; readonly body: unknown};

type Call = {readonly path: string; readonly body?: unknown; readonly token?: string};

const call = async (address: string, {path, body, token = TOKEN}: Call): Promise<AdminResponse> => {
	const res = await request(`http://${address}${path}`, {
		method: body === undefined ? 'GET' : 'POST',
		headers: {authorization: `Bearer ${token}`},
		...(body !== undefined && {body: typeof body === 'string' ? body : JSON.stringify(body)}),
	});
	return {status: res.statusCode, body: await res.body.json()};
};

const callAll = async (options: FakeOptions, calls: readonly Call[]): Promise<readonly AdminResponse[]> => {
	const admin = await startFakeRouter(options);
	const responses: AdminResponse[] = [];
	for (const each of calls) {
		// eslint-disable-next-line no-await-in-loop -- The calls build on one another.
		responses.push(await call(admin.address, each));
	}

	await admin.close();
	return responses;
};

const command = (text: string, operationId: string, extra: Readonly<Record<string, unknown>> = {}): Call =>
	({path: '/v1/commands', body: {text, operation_id: operationId, ...extra}});

test('a router that is not ready responds 200 to /healthz and 503 to /readyz', async t => {
	const [health, ready] = await callAll({isReady: () => false}, [{path: '/healthz'}, {path: '/readyz'}]);
	t.is(health?.status, 200);
	t.is(ready?.status, 503);
});

test('a query reads the whole fleet and names the part that is missing', async t => {
	t.snapshot(await callAll({missing: [{vm: 'galle-2', reason: 'no answer in time'}]}, [
		{path: '/v1/query', body: {text: 'teams where backlogged sort by behind desc show name, queued, behind'}},
	]));
});

test('a dry run writes nothing, a command writes the next version, a repeat of it writes no other', async t => {
	const change = 'change team couriers set weight 3';
	t.snapshot(await callAll({}, [
		command(change, 'op-1', {dry_run: true}),
		command(change, 'op-1'),
		command(change, 'op-1'),
		command('change team couriers set weight 4', 'op-1'),
		command(change, 'op-2'),
		command('revert to version 4', 'op-3'),
		{path: '/v1/query', body: {text: 'config_history show version, operator, operation_id'}},
	]));
});

test('the loser of a race is shown the winner\'s change', async t => {
	t.snapshot(await callAll({conflicting: true}, [command('take data_centre galle out', 'op-1')]));
});

test('bad calls get a typed error and the interface goes on', async t => {
	t.snapshot(await callAll({}, [
		{path: '/v1/query', body: {text: 'teams where'}},
		{path: '/v1/query', body: {text: 'drain target tariff-1'}},
		command('teams', 'op-1'),
		command('drain target tariff-1', 'op-1'),
		{path: '/v1/commands', body: {text: 'drain target tariff-1'}},
		{path: '/v1/query', body: 'no json'},
		{path: '/v1/query', body: {text: 'x'.repeat(20_000)}},
		{path: '/nowhere'},
		{path: '/v1/query', body: {text: 'teams'}, token: 'wrong'},
		{path: '/healthz'},
	]));
});

test('without operator tokens only calls from loopback are accepted, and only if the settings allow it', async t => {
	const config = fleetConfigSchema.parse({version: 1, operators: {ruwan: {}}});
	const attempt: Call = {path: '/v1/query', body: {text: 'teams'}, token: 'none'};
	const [allowed] = await callAll({config}, [attempt]);
	const [refused] = await callAll({config, bootstrapFromLoopback: false}, [attempt]);
	t.is(allowed?.status, 200);
	t.is(refused?.status, 401);
});
