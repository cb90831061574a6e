/** A server on raw sockets, for responses that no HTTP library would send. */
import {once} from 'node:events';
import net from 'node:net';
import {type ExecutionContext} from 'ava';

export type RawServer = {
	readonly address: string;
	/** Connections that are open. */
	readonly sockets: ReadonlySet<net.Socket>;
};

/** Starts the server, which is closed with all its connections at the end of the test. */
export const startRawServer = async (t: ExecutionContext, onConnection: (socket: net.Socket) => void): Promise<RawServer> => {
	const sockets = new Set<net.Socket>();
	const server = net.createServer({noDelay: true}, socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			sockets.delete(socket);
		});
		onConnection(socket);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		for (const socket of sockets) {
			socket.destroy();
		}

		server.close();
	});
	const address = server.address();
	return {address: `127.0.0.1:${typeof address === 'object' ? address?.port ?? 0 : 0}`, sockets};
};
