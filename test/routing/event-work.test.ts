/**
 * Bounds what an event of a stream costs, by counting timers, copies and writes. A VM relays most
 * of its events while its code is still interpreted, where each of them takes far longer.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {type Dispatcher} from 'undici';
import {type AttemptMessage} from '../../src/core/attempt/types.js';
import {createRecentSends} from '../../src/core/attempt/recent-sends.js';
import {type Grant} from '../../src/core/dispatch/types.js';
import {createCallerResponse, type CallerResponse} from '../../src/runtime/entry/caller-response.js';
import {type Job} from '../../src/runtime/entry/job.js';
import {createStallTimer} from '../../src/runtime/entry/stall-timer.js';
import {noAccount} from '../../src/runtime/memory/memory-accounts.js';
import {createInputAge} from '../../src/runtime/observe/input-age.js';
import {silentLog} from '../../src/runtime/observe/log.js';
import {createEventRelay} from '../../src/runtime/routing/event-relay.js';
import {createRelayCalls} from '../../src/runtime/routing/relay-call.js';
import {targetWire} from '../../platform/target-wire.js';

const EVENTS = 500;
/** Milliseconds without an event after which a resumable stream is reported as stalled. */
const STALL_MS = 1800;

const eventOf = (id: number): Uint8Array => Buffer.from(`id: ${id}\ndata: word\n\n`);
const ignore = () => undefined;

/** Counts the timers that are set until the function is called that is returned. */
const countTimers = (): (() => number) => {
	const {setTimeout: original} = globalThis;
	let count = 0;
	const counting = (...args: Parameters<typeof original>) => {
		count++;
		return original(...args);
	};

	globalThis.setTimeout = Object.assign(counting, {__promisify__: original.__promisify__});
	return () => {
		globalThis.setTimeout = original;
		return count;
	};
};

/** Starts a call to a target whose response the test passes on; the caller's response counts the writes. */
const startCall = async (t: ExecutionContext) => {
	const writes: Uint8Array[] = [];
	const messages: AttemptMessage[] = [];
	let handler: Dispatcher.DispatchHandler = {};
	const callerResponse: CallerResponse = {
		begin: ignore,
		mayTake: () => true,
		write(chunk) {
			writes.push(chunk);
			return true;
		},
		end: ignore,
		refuse: ignore,
		onDrain: ignore,
		hasDisconnected: () => false,
		onDisconnect: ignore,
		account: noAccount,
	};
	const startMs = performance.now();
	const job: Job = {
		requestId: 'r1', team: 'team', service: 'tariff', mode: 'stream', costHint: undefined, prefixHash: undefined, idempotencyKey: undefined, arrivedMs: startMs, startByMs: startMs + 60_000,
		serviceConfig: {
			kind: 'model', repeat: 'safe', maxRunMs: 60_000, maxWaitMs: 60_000, initialCost: 1, maxCost: 1,
		},
		request: {
			method: 'POST', path: '/', headers: {}, body: undefined,
		},
		route: {
			name: 'brief', maxTargets: 2, isResumable: true, endByMs: startMs + 60_000, callerWaitsUntilMs: startMs + 60_000, targetLatencyMs: 1000,
		},
	};
	const grant: Grant = {
		grantId: 'g1', target: 't1', address: '127.0.0.1:1', epoch: 0n, instance: 't1', expiresAtMs: Infinity,
	};
	const clock = {nowMs: () => performance.now()};
	const controller = { // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the methods that a call uses
		aborted: false, abort: ignore, pause: ignore, resume: ignore,
	} as unknown as Dispatcher.DispatchController;
	const dispatcher = { // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- the method that a call uses
		dispatch(_: Dispatcher.DispatchOptions, given: Dispatcher.DispatchHandler) {
			handler = given;
			return true;
		},
	} as unknown as Dispatcher;
	const pool = () => dispatcher;
	const call = createRelayCalls({
		wire: targetWire, pool, freshPool: pool, recentSends: createRecentSends(), clock, inputAge: createInputAge(clock), log: silentLog, observe: ignore,
		lossWatch: {noteWritten: ignore, noteActivity: ignore, detectLoss: () => undefined},
		promptWatch: {
			bornMs: () => 0, noteAnswered: ignore, noteBroke: ignore, noteClosed: ignore, noteAlive: ignore,
		},
	})(job, callerResponse)({
		grant, mayWrite: () => true, notify(message) {
			messages.push(message);
		},
	});
	call.start();
	await delay(1);
	handler.onRequestStart?.(controller, {});
	handler.onResponseStart?.(controller, 200, {
		'content-type': 'text/event-stream', 'x-attempt-id': 'r1', 'x-server-stamp': 't1', 'transfer-encoding': 'chunked',
	});
	t.teardown(() => {
		call.abandon();
	});
	return {
		writes,
		messages,
		receive(chunk: Uint8Array) {
			handler.onResponseData?.(controller, Buffer.from(chunk));
		},
	};
};

test.serial('an event of a stream is one write to the caller and sets no timer', async t => {
	const {writes, receive} = await startCall(t);
	receive(eventOf(1));
	const timers = countTimers();
	for (let id = 2; id <= EVENTS; id++) {
		receive(eventOf(id));
	}

	t.is(timers(), 0);
	t.is(writes.length, EVENTS);
});

// Guards against a stall that is noticed late because events no longer restart the timer.
test.serial('a stream that stalls after some events is reported once its limit has passed since the last one', async t => {
	const {messages, receive} = await startCall(t);
	receive(eventOf(1));
	await delay(1000);
	receive(eventOf(2));
	const lastMs = performance.now();
	await delay(STALL_MS - 300);
	t.false(messages.some(({kind}) => kind === 'silent'), 'the limit counts from the last event');
	while (!messages.some(({kind}) => kind === 'silent') && performance.now() < lastMs + 10_000) {
		await delay(5); // eslint-disable-line no-await-in-loop
	}

	const silentForMs = performance.now() - lastMs;
	t.true(silentForMs >= STALL_MS && silentForMs < STALL_MS + 1000, `${silentForMs} ms`);
});

test.serial('a stopped stall timer does not fire, and can be started again', async t => {
	let stalls = 0;
	const timer = createStallTimer(() => {
		stalls++;
	}, 40);
	timer.touch();
	timer.stop();
	await delay(120);
	t.is(stalls, 0);
	timer.touch();
	await delay(120);
	t.is(stalls, 1);
	timer.touch();
	await delay(120);
	t.is(stalls, 2);
});

test('a chunk of complete events is passed on as it is, without a copy', t => {
	const relay = createEventRelay();
	const chunk = Buffer.concat([eventOf(1), eventOf(2)]);
	t.is(relay.feed(chunk), chunk);
	const half = eventOf(3).subarray(0, 5);
	t.is(relay.feed(half), undefined);
	t.deepEqual(relay.feed(eventOf(3).subarray(5)), eventOf(3));
});

/** Serves responses of chunks of unknown total length; returns the connection to the server, and the number of writes that it made to that connection. */
const startServer = async (t: ExecutionContext, chunks: readonly Uint8Array[]) => {
	const counted = {writes: 0};
	const server = createServer((_req, res) => {
		const response = createCallerResponse(res, 'r1');
		response.begin(200, {'content-type': 'text/event-stream'}, 'events');
		for (const chunk of chunks) {
			response.write(chunk);
		}

		response.end();
	});
	server.on('connection', (socket: Socket) => {
		const write = socket.write.bind(socket) as (...args: unknown[]) => boolean; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- passes its arguments on
		socket.write = (...args: unknown[]) => {
			counted.writes++;
			return write(...args);
		};
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const address = server.address();
	const caller: Socket = connect(typeof address === 'object' ? address?.port ?? 0 : 0, '127.0.0.1');
	t.teardown(() => {
		caller.destroy();
		server.close();
	});
	return {caller, counted};
};

const chunked = (chunks: readonly Uint8Array[]): string => `${chunks.map(chunk => `${chunk.length.toString(16)}\r\n${Buffer.from(chunk).toString('latin1')}\r\n`).join('')}0\r\n\r\n`;

// Guards against a chunk whose marks, length or end are wrong: the caller would wait for ever, or take the next response for a part of this one.
test('each chunk of a response without a length is one write, and the connection serves the next request', async t => {
	const chunks = [eventOf(1), Buffer.from('data: é€\n\n'), Buffer.alloc(300, 'x'), Buffer.alloc(70_000, 0xFF)];
	const {caller, counted} = await startServer(t, chunks);
	let text = '';
	caller.setEncoding('latin1');
	caller.on('data', (part: string) => {
		text += part;
	});
	const responses = () => text.split('0\r\n\r\n').length - 1;
	for (const expected of [1, 2]) {
		caller.write('GET / HTTP/1.1\r\nhost: x\r\n\r\n');
		while (responses() < expected) {
			await delay(5); // eslint-disable-line no-await-in-loop
		}
	}

	const [, first = '', second = ''] = text.split(/HTTP\/1\.1 200 OK\r\n/v);
	for (const response of [first, second]) {
		const [head = '', ...body] = response.split('\r\n\r\n');
		t.regex(head, /transfer-encoding: chunked/iv);
		const [small, ...large] = [chunks.slice(0, 3), Buffer.alloc(65_536, 0xFF), Buffer.alloc(70_000 - 65_536, 0xFF)];
		t.is(body.join('\r\n\r\n'), chunked([...small, ...large]));
	}

	// Two responses, each of three small chunks, a large one in two parts, the last chunk and Node's end of the response.
	t.true(counted.writes <= 14, `${counted.writes} writes`);
});
