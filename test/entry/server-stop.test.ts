/** Guards against requests that are lost in the planned stop of an HTTP server, because they arrive on a keep-alive connection just before it is closed. */
import {once} from 'node:events';
import {createServer} from 'node:http';
import {connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {createServerStop} from '../../src/runtime/entry/server-stop.js';

const REQUEST = 'GET / HTTP/1.1\r\nHost: h\r\n\r\n';

const startServer = async (t: ExecutionContext, responseMs = 0) => {
	const server = createServer((_, res) => {
		setTimeout(() => {
			res.end('whole');
		}, responseMs);
	});
	const serverStop = createServerStop(server, 500);
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const address = server.address();
	const port = typeof address === 'object' ? address?.port ?? 0 : 0;
	t.teardown(() => {
		server.closeAllConnections();
		server.close();
	});

	/** Opens a connection that has received one response and is idle. */
	const openIdle = async () => {
		const caller = connect(port, '127.0.0.1');
		let text = '';
		caller.on('data', (chunk: Uint8Array) => {
			text += new TextDecoder().decode(chunk);
		});
		caller.on('error', () => undefined);
		caller.write(REQUEST);
		while (!text.includes('whole')) {
			await delay(2); // eslint-disable-line no-await-in-loop
		}

		const closed = new Promise<void>(resolve => {
			caller.once('close', () => {
				resolve();
			});
		});
		return {caller, closed, responses: () => text.split('whole').length - 1};
	};

	return {serverStop, openIdle};
};

/** Writes a request. Resolves when the operating system has accepted it, before the server in this process has read it. */
const writeRequest = async (caller: Socket): Promise<void> => new Promise(resolve => {
	caller.write(REQUEST, () => {
		resolve();
	});
});

test('a request that has arrived on a keep-alive connection but was not read yet gets its response before the stop', async t => {
	const {serverStop, openIdle} = await startServer(t);
	const callers = await Promise.all(Array.from({length: 10}, async () => openIdle()));
	// The stop begins in the same turn of the event loop as the write, before the server has read again.
	const writes = callers.map(async ({caller}) => writeRequest(caller));
	const stopped = serverStop.stop();
	await Promise.all([...writes, stopped, ...callers.map(async ({closed}) => closed)]);
	t.deepEqual(callers.map(({responses}) => responses()), callers.map(() => 2));
});

test('a request that arrives during the stop, while another request gets its response, is not cut', async t => {
	const {serverStop, openIdle} = await startServer(t, 20);
	const [first, second] = await Promise.all([openIdle(), openIdle()]);
	await writeRequest(first.caller);
	await delay(5);
	const stopped = serverStop.stop();
	first.caller.on('data', () => {
		second.caller.write(REQUEST);
	});
	await Promise.all([stopped, first.closed, second.closed]);
	t.is(first.responses(), 2);
});

test('idle connections are closed, and the stop ends before the read timeout', async t => {
	const {serverStop, openIdle} = await startServer(t);
	const {closed, responses} = await openIdle();
	const startMs = performance.now();
	await serverStop.stop();
	await closed;
	t.true(performance.now() - startMs < 450);
	t.is(responses(), 1);
});
