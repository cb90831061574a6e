/** Guards against a router that cannot start because `canSharePort` is wrong for its system or Node version: binding a second listener would then fail. */
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import {connect} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {canSharePort, listen} from '../../src/runtime/entry/listen.js';

test('listeners share a port on Linux from Node 22.12 on', t => {
	t.deepEqual([
		canSharePort('20.20.2', 'linux'),
		canSharePort('22.11.0', 'linux'),
		canSharePort('22.12.0', 'linux'),
		canSharePort('23.0.1', 'linux'),
		canSharePort('24.1.0', 'linux'),
		canSharePort('24.1.0', 'darwin'),
	], [false, false, true, true, true, false]);
});

/** Creates a server that responds with its name and counts its connections. */
const namedServer = (t: ExecutionContext, name: string): {readonly server: Server; readonly connections: () => number} => {
	let connections = 0;
	const server = createServer((_, res) => {
		res.end(name);
	});
	server.on('connection', () => {
		connections++;
	});
	t.teardown(() => {
		server.closeAllConnections();
		server.close();
	});
	return {server, connections: () => connections};
};

const call = async (port: number): Promise<string> => {
	const caller = connect(port, '127.0.0.1');
	let text = '';
	caller.on('data', (chunk: Uint8Array) => {
		text += new TextDecoder().decode(chunk);
	});
	caller.write('GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n');
	await once(caller, 'close');
	return text.split('\r\n\r\n')[1]?.match(/first|second/v)?.[0] ?? '';
};

const portOf = (address: string): number => Number(address.slice(address.lastIndexOf(':') + 1));

test('two servers on one port both get connections, and after one closes the other gets all; on systems without shared ports the second server cannot bind', async t => {
	const [first, second] = [namedServer(t, 'first'), namedServer(t, 'second')];
	const shares = canSharePort();
	const shared = {host: '127.0.0.1', reusePort: true, backlog: 16};
	const port = portOf(await listen(first.server, {...shared, port: 0}));
	const result = await listen(second.server, {...shared, port}).then(portOf, (error: unknown) => error instanceof Error && 'code' in error ? error.code : error);
	t.is(result, shares ? port : 'EADDRINUSE');
	const names = await Promise.all(Array.from({length: 64}, async () => call(port)));
	t.deepEqual([...new Set(names)].toSorted((a, b) => a.localeCompare(b)), shares ? ['first', 'second'] : ['first']);
	t.is(first.connections() + second.connections(), 64);
	if (shares) {
		first.server.close();
		await once(first.server, 'close');
	}

	const remaining = shares ? 'second' : 'first';
	t.deepEqual(await Promise.all(Array.from({length: 8}, async () => call(port))), Array.from({length: 8}, () => remaining));
});

test('binding an address that is in use without sharing is rejected', async t => {
	const [first, second] = [namedServer(t, 'first'), namedServer(t, 'second')];
	const port = portOf(await listen(first.server, {host: '127.0.0.1', port: 0}));
	await t.throwsAsync(listen(second.server, {host: '127.0.0.1', port}), {code: 'EADDRINUSE'});
});
