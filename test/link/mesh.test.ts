import test from 'ava';
import {isError} from '../../src/core/errors/jackdawwood-error.js';
import {PeerUnreachable} from '../../src/runtime/link/link-errors-data.js';
import {type Frame} from '../../src/gen/jackdawwood/v1/control_pb.js';
import {
	closeAll, event, linkAll, startMesh,
} from './meshes.js';

test('parts queued within a tick reach the peer in one frame', async t => {
	const a = await startMesh('a');
	const b = await startMesh('b');
	await linkAll(a, b);
	const frames: Frame[] = [];
	b.mesh.onFrame((from, frame) => {
		t.is(from.incarnation, 'a-1');
		if (frame.reports.length > 0) {
			frames.push(frame);
		}
	});
	const arrived = event(b, 'frame:a');
	a.mesh.queue('b', {
		reports: [{
			service: 'tariff', dataCentre: 'colombo', member: 'a', seq: 1,
		}],
	});
	a.mesh.queue('b', {
		reports: [{
			service: 'tariff', dataCentre: 'colombo', member: 'a', seq: 2,
		}], heartbeat: {heard: ['b']},
	});
	await arrived;
	t.is(frames.length, 1);
	t.deepEqual(frames[0]?.reports.map(({seq}) => seq), [2]);
	t.deepEqual(frames[0]?.heartbeat?.heard, ['b']);
	t.true(a.mesh.stats().bytesSent > 0);
	t.true(a.mesh.stats().bytesReceived > 0);
	await closeAll(a, b);
});

test('a flush sends parts without waiting for the tick', async t => {
	const a = await startMesh('a', {limits: {tickMs: 60_000}});
	const b = await startMesh('b');
	await linkAll(a, b);
	const ids: bigint[] = [];
	b.mesh.onFrame((from, frame) => {
		ids.push(...frame.claimRequests.map(({id}) => id));
	});
	const arrived = event(b, 'frame:a');
	a.mesh.queue('b', {claimRequests: [{id: 7n, team: 'couriers', key: 'k'}]});
	a.mesh.flush('b');
	await arrived;
	t.is(ids[0], 7n);
	await closeAll(a, b);
});

test('the VM with the greater id dials when only it knows the address of the other', async t => {
	const a = await startMesh('a');
	const b = await startMesh('b');
	const up = event(a, 'up:b');
	b.mesh.setPeers([a.peer]);
	await up;
	t.deepEqual(a.mesh.linked(), ['b']);
	await closeAll(a, b);
});

test('a peer that restarts is reported as down, then as up with its new incarnation', async t => {
	const a = await startMesh('a');
	const b = await startMesh('b');
	await linkAll(a, b);
	const down = event(a, 'down:b');
	await b.mesh.close();
	await down;
	t.deepEqual(a.mesh.linked(), []);
	const incarnations: string[] = [];
	a.mesh.onPeer(({state, incarnation}) => {
		incarnations.push(`${state} ${incarnation}`);
	});
	const again = await startMesh('b', {incarnation: 'b-2', listen: {host: '127.0.0.1', port: Number(b.peer.address.split(':')[1])}});
	const up = event(a, 'up:b');
	await up;
	t.deepEqual(incarnations, ['up b-2']);
	await closeAll(a, again);
});

test('readTable returns the rows of a peer, and rejects with PeerUnreachable for an unknown VM', async t => {
	const a = await startMesh('a');
	const b = await startMesh('b');
	await linkAll(a, b);
	t.is(await a.mesh.readTable('b', 'teams', 1000), '[{"table":"teams","vm":"b"}]');
	const err = await t.throwsAsync(a.mesh.readTable('c', 'teams', 1000), {any: true});
	t.true(isError(err, PeerUnreachable));
	await closeAll(a, b);
});
