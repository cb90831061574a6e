import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import test from 'ava';
import {request} from 'undici';
import {freeAddresses} from '../../tools/fleet/free-ports.js';
import {startWorksStore} from '../../standins/works/works-store.js';
import {startWorksTarget} from '../../standins/works/works-target.js';
import {
	configOf, HOST, settingsText, until,
} from './_platform.js';

test.serial('the bundle for the platform starts with a settings file, serves requests and ends at a stop signal', async t => {
	const bundler = spawn(process.execPath, ['deploy/bundle.js'], {stdio: 'inherit'});
	t.deepEqual(await once(bundler, 'exit'), [0, null]);

	const [store, target] = await Promise.all([startWorksStore(), startWorksTarget({id: 'l1', stream: false})]);
	store.put('op', 'config', configOf(7));
	store.put('servers', 'l1', {
		service: 'ledger', address: target.address, zone: 'dc-a', version: 'v1', slots: 8, state: 'ready', cold_remaining_ms: 0, sequence: 1, born: 1000,
	});
	const addresses = await freeAddresses(4);
	const folder = await mkdtemp(path.join(tmpdir(), 'jackdawwood-'));
	const file = path.join(folder, 'settings.toml');
	await writeFile(file, settingsText(addresses, store.address));
	const router = spawn(process.execPath, ['target/router.mjs'], {stdio: 'inherit', env: {JACKDAWWOOD_CONFIG: file}});
	const exited = once(router, 'exit');
	t.teardown(async () => {
		router.kill('SIGKILL');
		await Promise.all([store.close(), target.close(), rm(folder, {recursive: true})]);
	});

	const [callers = '', ready = ''] = addresses;
	await until(t, async () => {
		const status = await request(`http://${ready}/v1/readyz`).then(async ({statusCode, body}) => {
			await body.dump();
			return statusCode;
		}, () => 0);
		return status === 200;
	}, 'ready');
	const {statusCode, body} = await request(`http://${callers}/look/1`, {headers: {host: HOST, 'x-attempt-id': 'r1', 'x-deadline-ms': '3000'}});
	t.is(statusCode, 200);
	t.is(await body.text(), 'done by l1');
	router.kill('SIGTERM');
	t.deepEqual(await exited, [0, null]);
});
