import {once} from 'node:events';
import {createServer, type IncomingMessage} from 'node:http';
import {connect} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {readBody} from '../../src/runtime/entry/read-body.js';

const limits = {
	bodyBytes: 1000, headerBytes: 1000, readTimeoutMs: 50, connectionsPerTeam: 1,
};

/** Opens a request without sending its body. */
const openRequest = async (t: ExecutionContext) => {
	const server = createServer();
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const address = server.address();
	const caller = connect(typeof address === 'object' ? address?.port ?? 0 : 0, '127.0.0.1');
	t.teardown(() => {
		caller.destroy();
		server.close();
	});
	caller.write('POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n');
	const req = await new Promise<IncomingMessage>(resolve => {
		server.once('request', resolve);
	});
	return {caller, req};
};

test('a body that arrived while the process was paused beyond the read timeout is read', async t => {
	const {caller, req} = await openRequest(t);
	const body = readBody(req, limits);
	caller.write('body');
	const endMs = performance.now() + (limits.readTimeoutMs * 3);
	while (performance.now() < endMs) {
		// Blocks the event loop.
	}

	t.is(await body.then(bytes => new TextDecoder().decode(bytes), String), 'body');
});

test('a body that does not arrive in time is refused', async t => {
	const {req} = await openRequest(t);
	const refusal: unknown = await readBody(req, limits).then(() => undefined, (error: unknown) => error);
	t.like(refusal, {data: {name: 'ReadTimeout'}});
});
