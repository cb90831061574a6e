/**
 * Guards against requests that are sent on after their callers have left. After a long turn of
 * the event loop, timers run before a disconnect is read that arrived meanwhile.
 */
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setImmediate as turn, setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {silentLog, type LogFields} from '../../src/runtime/observe/log.js';
import {
	configOf, HOST, KEY, startPlatform, until, type Platform,
} from '../platform/_platform.js';

const CALLERS = 12;
/** Requests that a cold target bears in a second, and somewhat more than the milliseconds for which each of them counts. */
const COLD_PER_S = 2;
const COLD_WINDOW_MS = 1150;
/** Deadline of the requests that use up what the cold targets bear. */
const FILL_DEADLINE_MS = 300;
/** Shorter than what counts as a pause of the process, after which it sends nothing until it has read the store. */
const STALL_MS = 650;

/** Keeps the process from running, as a turn of the event loop with much work does. */
const standStill = (ms: number): void => {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
};

const openConnection = async (address: string): Promise<Socket> => {
	const [host = '', port = ''] = address.split(':');
	const socket = connect(Number(port), host);
	socket.on('error', () => undefined);
	await once(socket, 'connect');
	return socket;
};

const send = (socket: Socket, id: string): void => {
	socket.write(`GET /look/${id} HTTP/1.1\r\nhost: ${HOST}\r\nx-api-key: ${KEY}\r\nx-attempt-id: ${id}\r\nx-deadline-ms: 4000\r\n\r\n`);
};

const arrivalsOf = ({ledgers}: Platform, prefix: string): readonly string[] =>
	ledgers.flatMap(ledger => ledger.arrivals().map(({path}) => path)).filter(path => path.startsWith(`/look/${prefix}`));

/** Starts a platform whose plain targets are cold and have open connections. */
const startCold = async (t: ExecutionContext): Promise<Platform> => {
	const platform = await startPlatform(t);
	for (const ledger of platform.ledgers) {
		ledger.delayResponses(50);
	}

	await Promise.all(Array.from({length: 2 * CALLERS}, async (_, index) => platform.call(`/look/warm${index}`)));
	const {routes, services} = configOf(8);
	platform.store.put('op', 'config', configOf(8, {
		routes: routes.map(route => ({...route, target_latency_ms: 3500})),
		services: services.map(service => ({...service, cold_start_s: 60, cold_per_s: COLD_PER_S})),
	}));
	for (const ledger of platform.ledgers) {
		platform.announce(ledger, {cold_remaining_ms: 60_000, sequence: 2});
	}

	await delay(1200);
	return platform;
};

test.serial('queued requests are not sent on after their callers left in a long turn of the event loop', async t => {
	const platform = await startCold(t);
	const callers = await Promise.all(Array.from({length: CALLERS}, async () => openConnection(platform.address)));
	const filledMs = performance.now();
	await Promise.all(Array.from({length: 40}, async (_, index) => platform.call(`/look/fill${index}`, {headers: {'x-deadline-ms': String(FILL_DEADLINE_MS)}})));
	for (const [index, socket] of callers.entries()) {
		send(socket, `queued${index}`);
	}

	await delay(filledMs + COLD_WINDOW_MS + 30 - STALL_MS - performance.now());
	t.deepEqual(arrivalsOf(platform, 'queued'), []);
	await turn();
	for (const socket of callers) {
		socket.destroy();
	}

	standStill(STALL_MS);
	await delay(300);
	t.deepEqual(arrivalsOf(platform, 'queued'), []);
});

test.serial('requests are not sent on that are read late in a long turn of the event loop, after their callers left', async t => {
	let callers: readonly Socket[] = [];
	/** Makes the placement of one request take long, during which the other callers leave. */
	const routine = (event: string, fields: LogFields = {}): void => {
		if (event === 'request placed' && fields.request_id === 'slow') {
			for (const socket of callers) {
				socket.destroy();
			}

			standStill(STALL_MS);
		}
	};

	const platform = await startPlatform(t, {...silentLog, routine});
	await Promise.all(Array.from({length: CALLERS}, async (_, index) => platform.call(`/look/warm${index}`)));
	const openKept = async (id: string): Promise<Socket> => {
		const socket = await openConnection(platform.address);
		send(socket, id);
		await once(socket, 'data');
		return socket;
	};

	const slowCaller = await openKept('before');
	callers = await Promise.all(Array.from({length: CALLERS}, async (_, index) => openKept(`before${index}`)));
	t.teardown(() => slowCaller.destroy());
	await delay(50);
	await turn();
	// All requests arrive before the next poll for input, which returns them in this order.
	send(slowCaller, 'slow');
	for (const [index, socket] of callers.entries()) {
		send(socket, `read-late${index}`);
	}

	await delay(STALL_MS + 300);
	t.deepEqual(arrivalsOf(platform, 'slow'), ['/look/slow']);
	t.deepEqual(arrivalsOf(platform, 'read-late'), []);
});
