import {once} from 'node:events';
import {connect, createServer, type Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {request} from 'undici';
import {startProxy} from '../../standins/proxy/proxy.js';
import {proxySettingsSchema} from '../../standins/proxy/settings.js';
import {portOf} from '../../standins/shared/port-of.js';

/** Starts an echo server behind link `a` of a proxy. */
const start = async (t: ExecutionContext) => {
	const echo = createServer(socket => {
		socket.on('error', () => {
			socket.destroy();
		});
		socket.pipe(socket);
	});
	echo.listen(0, '127.0.0.1');
	await once(echo, 'listening');
	const proxy = await startProxy(proxySettingsSchema.parse({links: [{name: 'a', upstream: `127.0.0.1:${portOf(echo)}`}]}));
	const port = Number(String(proxy.details?.a).split(':')[1]);
	t.teardown(async () => {
		await proxy.close();
		echo.close();
	});
	const setFaults = async (faults: Readonly<Record<string, unknown>>) => {
		const res = await request(`http://${proxy.address}/control`, {method: 'POST', body: JSON.stringify({names: ['a'], faults})});
		t.is(res.statusCode, 200);
		await res.body.dump();
	};

	const open = async (): Promise<Socket> => {
		const socket = connect({port, host: '127.0.0.1'});
		t.teardown(() => {
			socket.destroy();
		});
		await once(socket, 'connect');
		return socket;
	};

	return {open, setFaults};
};

const echoed = async (socket: Socket, text: string): Promise<string> => {
	socket.write(text);
	const data: readonly unknown[] = await once(socket, 'data');
	return String(data[0]);
};

test('bytes are forwarded, and a delay applies in each direction', async t => {
	const {open, setFaults} = await start(t);
	const socket = await open();
	t.is(await echoed(socket, 'one'), 'one');
	await setFaults({delay_ms: 30});
	const sentMs = performance.now();
	t.is(await echoed(socket, 'two'), 'two');
	t.true(performance.now() - sentMs >= 59);
});

test('the fault `cut` resets open connections and new ones', async t => {
	const {open, setFaults} = await start(t);
	const socket = await open();
	await echoed(socket, 'one');
	const reset = once(socket, 'error');
	await setFaults({cut: true});
	t.like(await reset, [{code: 'ECONNRESET'}]);
	await t.throwsAsync(async () => {
		const next = await open();
		await once(next, 'close');
		throw new Error('closed');
	});
	await setFaults({});
	t.is(await echoed(await open(), 'two'), 'two');
});

test('the fault `freeze` withholds bytes until it ends', async t => {
	const {open, setFaults} = await start(t);
	const socket = await open();
	await setFaults({freeze: true});
	let received = '';
	socket.on('data', data => {
		received += String(data);
	});
	socket.write('one');
	// This request to the administration interface gives the bytes time to arrive at the proxy.
	await setFaults({freeze: true});
	t.is(received, '');
	const data = once(socket, 'data');
	await setFaults({});
	await data;
	t.is(received, 'one');
});

test('a connection is reset after the given number of bytes', async t => {
	const {open, setFaults} = await start(t);
	await setFaults({drop_after_bytes: 4});
	const socket = await open();
	const reset = once(socket, 'error');
	socket.write('12345');
	t.like(await reset, [{code: 'ECONNRESET'}]);
});
