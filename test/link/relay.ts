/** A TCP relay on loopback that can stop forwarding without closing its connections. */
import {once} from 'node:events';
import {connect, createServer, type Socket} from 'node:net';

export type Relay = {
	readonly address: string;
	/** Stops forwarding bytes; connections stay open. */
	readonly freeze: () => void;
	/** Forwards the bytes of new connections again. */
	readonly thaw: () => void;
	readonly close: () => Promise<void>;
};

/** Starts a relay to `IP:PORT`. */
export const startRelay = async (target: string): Promise<Relay> => {
	const [host = '', port] = target.split(':');
	const sockets = new Set<Socket>();
	let frozen = false;

	const watch = (socket: Socket): Socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.once('close', () => {
			sockets.delete(socket);
		});
		return socket;
	};

	const server = createServer(socket => {
		watch(socket);
		if (frozen) {
			socket.pause();
			return;
		}

		const onward = watch(connect(Number(port), host));
		socket.pipe(onward);
		onward.pipe(socket);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const bound = server.address();

	return {
		address: `127.0.0.1:${typeof bound === 'object' && bound ? bound.port : ''}`,
		freeze() {
			frozen = true;
			for (const socket of sockets) {
				socket.unpipe();
				socket.pause();
			}
		},
		thaw() {
			frozen = false;
		},
		async close() {
			for (const socket of sockets) {
				socket.destroy();
			}

			server.close();
			await once(server, 'close');
		},
	};
};
