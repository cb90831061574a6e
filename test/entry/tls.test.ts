import {once} from 'node:events';
import {readFile} from 'node:fs/promises';
import * as tls from 'node:tls';
import test from 'ava';
import {Agent, request} from 'undici';
import {startLedger} from '../../standins/ledger/ledger.js';
import {ledgerSettingsSchema} from '../../standins/ledger/settings.js';
import {type TlsFiles} from '../../src/runtime/link/tls-keys.js';
import {createCa} from '../link/test-keys.js';
import {grantingScheduler, startTestEntry, TOKEN} from './_entry.js';

const readKeys = async ({cert, key}: TlsFiles) => ({cert: await readFile(cert), key: await readFile(key)});

const serialAt = async (address: string): Promise<string> => {
	const [host, port] = address.split(':');
	const socket = tls.connect({host, port: Number(port), rejectUnauthorized: false});
	await once(socket, 'secureConnect');
	const {serialNumber} = socket.getPeerCertificate();
	socket.destroy();
	return serialNumber.toLowerCase();
};

test('requests are served over TLS, and new keys are used without a restart', async t => {
	const ca = await createCa();
	const files = await ca.issue('vm-1', {serial: '0a01'});
	const ledger = await startLedger(ledgerSettingsSchema.parse({serviceMs: 1, warmAfter: 0}));
	t.teardown(ledger.close);
	const {entry} = await startTestEntry(t, {scheduler: grantingScheduler(() => ledger.address), tls: await readKeys(files)});
	const dispatcher = new Agent({connect: {ca: ca.certificate, checkServerIdentity: () => undefined}});
	t.teardown(async () => dispatcher.destroy());
	const call = async () => {
		const res = await request(`https://${entry.address}/services/lookup/x`, {dispatcher, headers: {authorization: `Bearer ${TOKEN}`}});
		await res.body.dump();
		return res.statusCode;
	};

	t.is(await call(), 200);
	t.is(await serialAt(entry.address), '0a01');
	await ca.renew(files, 'vm-1', {serial: '0a02'});
	entry.reloadTls(await readKeys(files));
	t.is(await call(), 200);
	t.is(await serialAt(entry.address), '0a02');
});

test('a caller without TLS gets no response from an interface with TLS', async t => {
	const ca = await createCa();
	const files = await ca.issue('vm-1');
	const {call} = await startTestEntry(t, {scheduler: grantingScheduler(() => '127.0.0.1:1'), tls: await readKeys(files)});
	await t.throwsAsync(call('/services/lookup/x', {method: 'GET'}));
});
