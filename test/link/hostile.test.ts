import {once} from 'node:events';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {connect} from 'node:net';
import {connect as connectHttp2} from 'node:http2';
import {createClient} from '@connectrpc/connect';
import {createConnectTransport, Http2SessionManager} from '@connectrpc/connect-node';
import test from 'ava';
import fc from 'fast-check';
import {Control} from '../../src/gen/jackdawwood/v1/control_pb.js';
import {createOutbox, type FrameInit} from '../../src/runtime/link/outbox.js';
import {
	closeAll, event, linkAll, startMesh, type TestMesh, until,
} from './meshes.js';
import {startRelay} from './relay.js';

const HELLO = {
	vm: 'a', dataCentre: 'colombo', incarnation: 'a-1', protocol: 1,
};

/** Sends frames on a new stream and waits until the mesh has closed it. */
const sendFrames = async ({mesh}: TestMesh, frames: readonly FrameInit[]): Promise<void> => {
	const baseUrl = `http://${mesh.address}`;
	const sessionManager = new Http2SessionManager(baseUrl);
	const client = createClient(Control, createConnectTransport({baseUrl, httpVersion: '2', sessionManager}));
	const outbox = createOutbox();
	const replies = client.link(outbox.frames)[Symbol.asyncIterator]();
	try {
		await replies.next();
		for (const frame of frames) {
			await until(() => outbox.isReady()); // eslint-disable-line no-await-in-loop
			outbox.send(frame);
		}

		let reply = await replies.next();
		while (!reply.done) {
			reply = await replies.next(); // eslint-disable-line no-await-in-loop
		}
	} catch {
		// The mesh closed the stream with an error.
	} finally {
		sessionManager.abort();
	}
};

for (const {title, frames, error} of [
	{title: 'another protocol version', frames: [{seq: 1n, hello: {...HELLO, protocol: 2}}], error: 'LinkVersionMismatch'},
	{title: 'no hello', frames: [{seq: 1n}], error: 'LinkFrameInvalid'},
	{title: 'a hello without ids', frames: [{seq: 1n, hello: {...HELLO, vm: ''}}], error: 'LinkFrameInvalid'},
	{title: 'the id of the VM itself', frames: [{seq: 1n, hello: {...HELLO, vm: 'b'}}], error: 'LinkIdentityMismatch'},
	{title: 'a gap in the sequence of frames', frames: [{seq: 1n, hello: HELLO}, {seq: 3n}], error: 'LinkFrameInvalid'},
	{title: 'an acknowledgement of frames that were never sent', frames: [{seq: 1n, hello: HELLO}, {seq: 2n, ack: 1000n}], error: 'LinkFrameInvalid'},
	{
		title: 'an amount that is not a number',
		frames: [{seq: 1n, hello: HELLO}, {seq: 2n, reports: [{service: 's', member: 'a', teams: [{team: 't', charged: Number.NaN}]}]}],
		error: 'LinkFrameInvalid',
	},
	{
		title: 'an order that refers to a missing approval',
		frames: [{seq: 1n, hello: HELLO}, {seq: 2n, allotments: [{service: 's', member: 'a', order: [0]}]}],
		error: 'LinkFrameInvalid',
	},
] satisfies ReadonlyArray<{title: string; frames: readonly FrameInit[]; error: string}>) {
	test(`the link of a peer that sends ${title} is closed with ${error}`, async t => {
		const b = await startMesh('b');
		await sendFrames(b, frames);
		t.deepEqual(b.errors, [error]);
		t.deepEqual(b.mesh.linked(), []);
		await closeAll(b);
	});
}

test('connections that send arbitrary bytes do not affect other links', async t => {
	const a = await startMesh('a');
	const b = await startMesh('b');
	await linkAll(a, b);
	const [host = '', port] = b.mesh.address.split(':');
	await fc.assert(fc.asyncProperty(fc.uint8Array({minLength: 30, maxLength: 300}), async bytes => {
		const socket = connect(Number(port), host);
		socket.on('error', () => undefined);
		socket.resume();
		socket.end(bytes);
		await once(socket, 'close');
	}), {numRuns: 40, seed: 1});
	await fc.assert(fc.asyncProperty(fc.uint8Array({maxLength: 300}), async bytes => {
		const session = connectHttp2(`http://${b.mesh.address}`);
		const stream = session.request({':method': 'POST', ':path': '/jackdawwood.v1.Control/Link', 'content-type': 'application/connect+proto'});
		stream.on('error', () => undefined);
		stream.resume();
		const length = new Uint8Array(5);
		new DataView(length.buffer).setUint32(1, bytes.length);
		stream.end(new Uint8Array([...length, ...bytes]));
		await once(stream, 'close');
		session.destroy();
	}), {numRuns: 40, seed: 1});
	t.deepEqual(a.mesh.linked(), ['b']);
	t.deepEqual(b.mesh.linked(), ['a']);
	t.true(b.errors.length >= 40);
	const arrived = event(b, 'frame:a');
	a.mesh.queue('b', {heartbeat: {}});
	await arrived;
	await closeAll(a, b);
});

test('an idle link is closed at both ends and dialled again', async t => {
	const a = await startMesh('a');
	const b = await startMesh('b');
	const relay = await startRelay(b.mesh.address);
	const up = [event(a, 'up:b'), event(b, 'up:a')];
	a.mesh.setPeers([{...b.peer, address: relay.address}]);
	await Promise.all(up);
	const downs = [event(a, 'down:b'), event(b, 'down:a')];
	relay.freeze();
	await Promise.all(downs);
	t.true(a.errors.includes('LinkIdle'));
	t.true(b.errors.includes('LinkIdle'));
	const again = [event(a, 'up:b'), event(b, 'up:a')];
	relay.thaw();
	await Promise.all(again);
	t.deepEqual(a.mesh.linked(), ['b']);
	await closeAll(a, b);
	await relay.close();
});

test('reports to a peer that does not read are merged, and too many claims close its link', async t => {
	const a = await startMesh('a', {limits: {maxPendingClaims: 100, idleTimeoutMs: 60_000}});
	const b = await startMesh('b', {limits: {idleTimeoutMs: 60_000}});
	const relay = await startRelay(b.mesh.address);
	const up = event(a, 'up:b');
	a.mesh.setPeers([{...b.peer, address: relay.address}]);
	await up;
	relay.freeze();
	const teams = Array.from({length: 4000}, (_, index) => ({team: `team-${index}`, queued: 1}));
	const framesBefore = a.mesh.stats().framesSent;
	for (let seq = 1; seq <= 200; seq++) {
		a.mesh.queue('b', {
			reports: [{
				service: 's', member: 'a', seq, teams,
			}],
		});
		a.mesh.flush('b');
		await nextTurn(); // eslint-disable-line no-await-in-loop
	}

	t.true(a.mesh.stats().framesSent - framesBefore < 150);
	const overrun = event(a, 'error:LinkOverrun');
	for (let id = 0n; id <= 100n; id++) {
		a.mesh.queue('b', {claimRequests: [{id, team: 't', key: 'k'}]});
	}

	await overrun;
	await closeAll(a, b);
	await relay.close();
});

test('two VMs that dial each other at the same time both keep the same stream', async t => {
	for (let run = 0; run < 10; run++) {
		const limits = {fallbackDialMs: 0};
		const a = await startMesh('a', {limits, random: () => 0}); // eslint-disable-line no-await-in-loop
		const b = await startMesh('b', {limits, random: () => 0}); // eslint-disable-line no-await-in-loop
		await linkAll(a, b); // eslint-disable-line no-await-in-loop
		const before = [a.mesh.stats().framesReceived, b.mesh.stats().framesReceived];
		const arrived = [event(a, 'frame:b'), event(b, 'frame:a')];
		a.mesh.queue('b', {heartbeat: {}});
		b.mesh.queue('a', {heartbeat: {}});
		await Promise.all(arrived); // eslint-disable-line no-await-in-loop
		t.deepEqual(a.mesh.linked(), ['b']);
		t.deepEqual(b.mesh.linked(), ['a']);
		t.true(a.mesh.stats().framesReceived > (before[0] ?? 0));
		await closeAll(a, b); // eslint-disable-line no-await-in-loop
	}
});

test('a connection that sends nothing is closed after the idle timeout', async t => {
	const b = await startMesh('b', {limits: {idleTimeoutMs: 50}});
	const [host = '', port] = b.mesh.address.split(':');
	const socket = connect(Number(port), host);
	socket.resume();
	await once(socket, 'close');
	t.true(socket.destroyed);
	await closeAll(b);
});
