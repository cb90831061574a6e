import {createSocket} from 'node:dgram';
import {once} from 'node:events';
import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {create, fromBinary, toBinary} from '@bufbuild/protobuf';
import {FleetLoads} from '../../src/core/placement/fleet-loads.js';
import {PeerDatagramSchema} from '../../src/gen/jackdawwood/v1/exchange_pb.js';
import {silentLog} from '../../src/runtime/observe/log.js';
import {startLoadExchange} from '../../src/runtime/routing/load-exchange.js';

const PERIOD_MS = 100;
const ignore = (): undefined => undefined;

/** Returns a port that was free a moment ago. */
const freePort = async (): Promise<number> => {
	const socket = createSocket('udp4');
	socket.bind(0, '127.0.0.1');
	await once(socket, 'listening');
	const {port} = socket.address();
	socket.close();
	return port;
};

/** Starts an exchange with one peer; returns the sequence numbers of the reports that the peer receives. */
const startExchange = async (t: ExecutionContext, overrides: Partial<Parameters<typeof startLoadExchange>[0]>) => {
	const peer = createSocket('udp4');
	peer.bind(0, '127.0.0.1');
	await once(peer, 'listening');
	const received: number[] = [];
	const vms: string[] = [];
	peer.on('message', bytes => {
		const {report, vm} = fromBinary(PeerDatagramSchema, bytes);
		vms.push(vm);
		if (report) {
			received.push(report.sequence);
		}
	});
	const address = {host: '127.0.0.1', port: peer.address().port};
	const exchange = await startLoadExchange({
		vm: 'vm-1', incarnation: 'i', listen: {host: '127.0.0.1', port: 0}, clock: {nowMs: () => performance.now()}, log: silentLog,
		loads: new FleetLoads(), peers: () => [address], peerOf: () => address, onUnknownVm: ignore, onPeerMessage: ignore, targets: () => [], teams: () => [],
		takeSentPrompts: () => [], onSentPrompts: ignore, leavingTargets: () => [], onLeavingTargets: ignore,
		freshness: () => ({versions: new Map(), storeAgeMs: 0, outageAgeMs: undefined}), onFreshness: ignore, takeObserved: () => [], onObserved: ignore, ...overrides,
	});
	t.teardown(() => {
		exchange.close();
		peer.close();
	});
	return {exchange, received, vms};
};

test('a report that cannot be encoded does not end the reports of this VM', async t => {
	let reports = 0;
	const {received} = await startExchange(t, {
		targets() {
			reports++;
			return reports === 2
				? [{
					target: 'm1', running: 99_999_999_999, readingTokens: -1, heldTokens: Number.NaN,
				}]
				: [];
		},
	});
	await delay(PERIOD_MS * 8);
	t.true(received.length >= 4, `${received.length} reports`);
});

test('the address of a VM that is none does not end the reports to the others', async t => {
	let reports = 0;
	const {received} = await startExchange(t, {
		peers() {
			reports++;
			if (reports === 2) {
				throw new RangeError('no address');
			}

			return [];
		},
	});
	await delay(PERIOD_MS * 8);
	t.deepEqual(received, []);
	t.true(reports >= 3, `${reports} reports`);
});

test('a reservation message that cannot be encoded costs itself alone', async t => {
	const {exchange, vms} = await startExchange(t, {peers: () => []});
	exchange.sendPeerMessage('vm-2', 'tariff', {
		kind: 'progress', id: 'a', target: 'm1', hasEnded: false, workPercent: -5.5,
	});
	await delay(PERIOD_MS);
	exchange.sendPeerMessage('vm-2', 'tariff', {
		kind: 'progress', id: 'b', target: 'm1', hasEnded: true,
	});
	await delay(PERIOD_MS);
	t.deepEqual(vms, ['vm-1']);
});

test('a VM with nothing new to tell sends few reports, and one soon after a request or a change of the fleet has arrived', async t => {
	const {exchange, received} = await startExchange(t, {});
	await delay(2500);
	const before = received.length;
	await delay(2000);
	const atRest = received.length - before;
	t.true(atRest >= 2 && atRest <= 5, `${atRest} reports in 2 s at rest`);
	exchange.wake();
	await delay(PERIOD_MS * 8);
	const awake = received.length - before - atRest;
	t.true(awake >= 5, `${awake} reports in 0.8 s after that`);
});

test('a VM at rest passes on at once what it hears of an outage of the store', async t => {
	const freshness: {outageAgeMs: number | undefined} = {outageAgeMs: undefined};
	const other = createSocket('udp4');
	t.teardown(() => other.close());
	const port = await freePort();
	const {received} = await startExchange(t, {
		listen: {host: '127.0.0.1', port}, freshness: () => ({versions: new Map(), storeAgeMs: 0, ...freshness}), onFreshness({outageAgeMs}) {
			freshness.outageAgeMs = outageAgeMs;
		},
	});
	await delay(2500);
	const before = received.length;
	other.send(toBinary(PeerDatagramSchema, create(PeerDatagramSchema, {vm: 'vm-2', report: {incarnation: 'i', sequence: 1, outageAgeMs: 2100}})), port, '127.0.0.1');
	await delay(PERIOD_MS * 8);
	t.true(received.length - before >= 5, `${received.length - before} reports in 0.8 s`);
});
