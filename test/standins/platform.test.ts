import test, {type ExecutionContext} from 'ava';
import {request} from 'undici';
import * as z from 'zod';
import {startPlatform} from '../../standins/platform/platform.js';
import {platformSettingsSchema} from '../../standins/platform/settings.js';
import {clientOf} from './_client.js';

const start = async (t: ExecutionContext, settings: Readonly<Record<string, unknown>> = {}) => {
	const call = clientOf(t, await startPlatform(platformSettingsSchema.parse(settings)));
	return async (method: 'GET' | 'POST', path: string, body?: unknown): Promise<readonly [status: number, body: unknown]> => {
		const res = await call(method, path, body);
		return [res.statusCode, await res.body.json()];
	};
};

const put = (key: string, value: unknown, expected: {readonly expect_revision?: unknown} = {}) =>
	({operation_id: 'op', operations: [{key, value, ...expected}]});

const viewsSchema = z.object({views: z.array(z.object({address: z.string()}))});

/** Condition that the row does not exist. */
const expectsNoRow = {expect_revision: null};

test('a transaction takes effect as a whole or tells the conflicting rows', async t => {
	const call = await start(t);
	const path = '/tables/config/transactions';
	t.snapshot([
		await call('POST', path, put('version/1', {a: 1}, expectsNoRow)),
		await call('POST', path, put('version/1', {a: 2}, expectsNoRow)),
		await call('POST', path, {operation_id: 'op', operations: [{key: 'b', value: 1}, {key: 'version/1', expect_revision: 7, value: 2}]}),
		await call('POST', path, put('absent', 1, {expect_revision: 3})),
		await call('GET', '/tables/config/rows/b'),
		await call('POST', path, put('version/1', {a: 3}, {expect_revision: 1})),
		await call('GET', '/tables/config/rows/version/1'),
		await call('GET', '/tables/config/rows?prefix=version/&limit=5'),
		await call('POST', path, put('version/1', null)),
		await call('GET', '/tables/config/rows/version%2F1'),
	]);
});

test('a write whose response is lost stays in effect', async t => {
	const call = await start(t);
	await call('POST', '/control', {lose_next_answers: 1});
	await t.throwsAsync(call('POST', '/tables/t/transactions', put('k', 1, expectsNoRow)));
	t.like(await call('GET', '/tables/t/rows/k'), [200]);
	t.like(await call('POST', '/tables/t/transactions', put('k', 2, {expect_revision: 1})), [200]);
});

test('calls above the rate are refused with 429, in an outage with 503', async t => {
	const call = await start(t, {writesPerS: 1});
	t.like(await call('POST', '/tables/t/transactions', put('k', 1)), [200]);
	t.like(await call('POST', '/tables/t/transactions', put('k', 1)), [429]);
	await call('POST', '/control', {outage: 'refuse'});
	t.like(await call('GET', '/vms'), [503]);
});

test('the list of VMs includes a change only after its lag', async t => {
	const vm = {
		id: 'vm-1', data_centre: 'colombo', control: '127.0.0.1:1', admin: '127.0.0.1:2', started_ms: 5,
	};
	const lagging = await start(t, {vmLagMs: 60_000});
	await lagging('POST', '/control', {put_vms: [vm]});
	t.deepEqual(await lagging('GET', '/vms'), [200, {vms: []}]);
	const prompt = await start(t, {vmLagMs: 0});
	await prompt('POST', '/control', {put_vms: [vm]});
	t.deepEqual(await prompt('GET', '/vms'), [200, {vms: [{...vm, state: 'live'}]}]);
});

test('a view returns another control address of a VM', async t => {
	const call = await start(t, {vmLagMs: 0});
	const vm = {
		id: 'vm-1', data_centre: 'colombo', control: '127.0.0.1:1', admin: '127.0.0.1:2', started_ms: 5,
	};
	const [, answer] = await call('POST', '/control', {put_vms: [vm], add_views: [{name: 'vm-2', controls: [{vm: 'vm-1', control: '127.0.0.1:9'}]}]});
	const {views: [view]} = viewsSchema.parse(answer);
	const res = await request(`http://${view!.address}/vms`);
	t.like(await res.body.json(), {vms: [{id: 'vm-1', control: '127.0.0.1:9'}]});
});
