import {appendFile, writeFile} from 'node:fs/promises';
import {connect as connectHttp2} from 'node:http2';
import {once} from 'node:events';
import {connect as connectTls} from 'node:tls';
import test, {type ExecutionContext} from 'ava';
import {isError} from '../../src/core/errors/jackdawwood-error.js';
import {TlsKeysInvalid} from '../../src/runtime/link/tls-errors-data.js';
import {loadTls, type TlsFiles, type TlsSource} from '../../src/runtime/link/tls-keys.js';
import {
	closeAll, event, linkAll, startMesh, type TestMesh, until,
} from './meshes.js';
import {createCa} from './test-keys.js';

const POLL_MS = 20;

const load = async (t: ExecutionContext, files: TlsFiles): Promise<TlsSource> => {
	const tls = await loadTls(files, {pollMs: POLL_MS, onError: () => undefined});
	t.teardown(() => {
		tls.close();
	});
	return tls;
};

const portOf = ({mesh}: TestMesh): {readonly host: string; readonly port: number} => {
	const [host = '', port] = mesh.address.split(':');
	return {host, port: Number(port)};
};

/** Lets `client` dial `server`, waits until the attempt has failed, and returns the VMs that `client` is linked with. */
const linkedAfterRefusal = async (client: TestMesh, server: TestMesh): Promise<readonly string[]> => {
	client.mesh.setPeers([server.peer]);
	await until(() => client.errors.length > 0);
	return client.mesh.linked();
};

test('VMs with keys of the fleet\'s CA link up and read tables', async t => {
	const ca = await createCa();
	const a = await startMesh('a', {tls: await load(t, await ca.issue('a'))});
	const b = await startMesh('b', {tls: await load(t, await ca.issue('b'))});
	await linkAll(a, b);
	t.is(await a.mesh.readTable('b', 'teams', 2000), '[{"table":"teams","vm":"b"}]');
	t.true(a.mesh.stats().bytesSent > 0);
	await closeAll(a, b);
});

test('a peer without a certificate gets no link and no data', async t => {
	const ca = await createCa();
	const server = await startMesh('b', {tls: await load(t, await ca.issue('b'))});
	const client = await startMesh('a');
	t.deepEqual(await linkedAfterRefusal(client, server), []);

	let received = 0;
	const socket = connectTls({
		...portOf(server), ca: ca.certificate, checkServerIdentity: () => undefined, ALPNProtocols: ['h2'],
	});
	socket.on('data', (chunk: Uint8Array) => {
		received += chunk.length;
	});
	await t.throwsAsync(once(socket, 'close'));
	t.is(received, 0);
	await until(() => server.errors.includes('PeerCertificateRefused'));
	t.true(server.errors.includes('PeerCertificateRefused'));
	t.deepEqual(server.mesh.linked(), []);
	await closeAll(server, client);
});

for (const {title, vm, ca: caName, validForHours} of [
	{
		title: 'a key of another CA', vm: 'a', ca: 'other', validForHours: 24,
	},
	{
		title: 'an expired key', vm: 'a', ca: 'fleet', validForHours: -1,
	},
	{
		title: 'the key of another VM', vm: 'c', ca: 'fleet', validForHours: 24,
	},
] as const) {
	test(`${title} is refused by the VM that is dialled`, async t => {
		const [fleet, other] = [await createCa(), await createCa('other')];
		const issued = await (caName === 'other' ? other : fleet).issue(vm, {validForHours});
		await writeFile(issued.ca, fleet.certificate);
		const client = await startMesh('a', {tls: await load(t, issued)});
		const server = await startMesh('b', {tls: await load(t, await fleet.issue('b'))});
		t.deepEqual(await linkedAfterRefusal(client, server), []);
		await until(() => server.errors.length > 0);
		t.true(['PeerCertificateRefused', 'LinkIdentityMismatch'].includes(server.errors[0] ?? ''));
		t.deepEqual(server.mesh.linked(), []);
		await closeAll(client, server);
	});

	test(`${title} is refused by the VM that dials`, async t => {
		const [fleet, other] = [await createCa(), await createCa('other')];
		const issued = await (caName === 'other' ? other : fleet).issue(vm === 'a' ? 'b' : vm, {validForHours});
		await writeFile(issued.ca, fleet.certificate);
		const client = await startMesh('a', {tls: await load(t, await fleet.issue('a'))});
		const server = await startMesh('b', {tls: await load(t, issued)});
		t.deepEqual(await linkedAfterRefusal(client, server), []);
		t.deepEqual(server.mesh.linked(), []);
		await closeAll(client, server);
	});
}

test('when a peer\'s certificate is revoked, its open link is closed and it gets no new link', async t => {
	const ca = await createCa();
	const files = await ca.issue('b');
	const a = await startMesh('a', {tls: await load(t, await ca.issue('a', {serial: '0a11ce'}))});
	const b = await startMesh('b', {tls: await load(t, files)});
	await linkAll(a, b);
	const down = event(b, 'down:a');
	await appendFile(files.revoked, '0a:11:ce # left in a taxi\n');
	await down;
	const refusedBefore = b.errors.filter(name => name === 'PeerCertificateRefused').length;
	t.true(refusedBefore > 0);
	await until(() => b.errors.filter(name => name === 'PeerCertificateRefused').length > refusedBefore + 1);
	t.true(b.errors.filter(name => name === 'PeerCertificateRefused').length > refusedBefore + 1);
	t.deepEqual(b.mesh.linked(), []);
	await closeAll(a, b);
});

test('new keys are used while frames are sent, without closing a link', async t => {
	const ca = await createCa();
	const files = await ca.issue('b', {serial: '0b01'});
	const tls = await load(t, files);
	const a = await startMesh('a', {tls: await load(t, await ca.issue('a'))});
	const b = await startMesh('b', {tls});
	await linkAll(a, b);
	let received = 0;
	b.mesh.onFrame(() => {
		received++;
	});
	let downs = 0;
	const countDown = (): void => {
		downs++;
	};

	a.mesh.onPeer(countDown);
	b.mesh.onPeer(countDown);
	const traffic = setInterval(() => {
		a.mesh.queue('b', {heartbeat: {}});
	}, 5);
	const changed = new Promise<void>(resolve => {
		tls.onChange(() => {
			resolve();
		});
	});
	await ca.renew(files, 'b', {serial: '0b02'});
	await changed;
	const before = received;
	await until(() => received > before + 5);
	t.true(received > before + 5);
	t.is(downs, 0);
	const dialErrors = new Set(['LinkReplaced']);
	t.deepEqual([...a.errors, ...b.errors].filter(name => !dialErrors.has(name)), []);

	const session = connectHttp2(`https://${b.mesh.address}`, {
		...tls.current(), checkServerIdentity(_host, {serialNumber}) {
			t.is(serialNumber, '0B02');
			return undefined;
		},
	});
	await once(session, 'connect');
	session.destroy();
	clearInterval(traffic);
	await closeAll(a, b);
});

test('a reload of invalid keys rejects with TlsKeysInvalid and leaves the old keys in use', async t => {
	const ca = await createCa();
	const files = await ca.issue('a');
	const tls = await load(t, files);
	const {cert} = tls.current();
	const other = await ca.issue('b');
	await writeFile(files.key, await loadTls(other, {pollMs: 60_000, onError: () => undefined}).then(({current}) => current().key));
	const err: unknown = await t.throwsAsync(tls.reload(), {any: true});
	t.true(isError(err, TlsKeysInvalid));
	t.is(tls.current().cert, cert);
	await writeFile(files.cert, '');
	const emptyErr: unknown = await t.throwsAsync(tls.reload(), {any: true});
	t.true(isError(emptyErr, TlsKeysInvalid));
});
