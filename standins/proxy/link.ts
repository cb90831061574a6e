/** A link of the fault proxy: a listen address with its upstream and its faults. */
import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {type Clock} from '../../src/core/clock.js';
import {portOf} from '../shared/port-of.js';
import {Pump} from './pump.js';
import {noFaults, type LinkFaults, type LinkSettings} from './settings.js';

const LOOPBACK = '127.0.0.1';

type Connection = {readonly sockets: readonly Socket[]; readonly pumps: readonly Pump[]};

export type LinkReport = {
	readonly name: string;
	readonly address: string;
	readonly upstream: string;
	readonly connections: number;
	readonly bytes_to_upstream: number;
	readonly bytes_from_upstream: number;
};

/** Resets a socket. A socket whose end is still being sent is only destroyed: Node would never close its handle after a reset. */
const reset = (socket: Socket): void => {
	if (socket.writableEnded && !socket.writableFinished) {
		socket.destroy();
	} else {
		socket.resetAndDestroy();
	}
};

export class Link {
	readonly #server: Server;
	readonly #connections = new Set<Connection>();
	#faults: LinkFaults = noFaults;
	#upstream: string;
	#bytesTo = 0;
	#bytesFrom = 0;

	constructor(private readonly cfg: LinkSettings, private readonly clock: Clock) {
		this.#upstream = cfg.upstream;
		this.#server = createServer({allowHalfOpen: true}, client => {
			this.#accept(client);
		});
	}

	get name(): string {
		return this.cfg.name;
	}

	async listen(): Promise<void> {
		this.#server.listen(this.cfg.port, LOOPBACK);
		await once(this.#server, 'listening');
	}

	setFaults(faults: LinkFaults): void {
		this.#faults = faults;
		if (faults.cut) {
			this.#dropAll();
			return;
		}

		for (const {pumps} of this.#connections) {
			for (const pump of pumps) {
				pump.flush();
			}
		}
	}

	setUpstream(upstream: string): void {
		this.#upstream = upstream;
	}

	report(): LinkReport {
		return {
			name: this.cfg.name,
			address: `${LOOPBACK}:${portOf(this.#server)}`,
			upstream: this.#upstream,
			connections: this.#connections.size,
			bytes_to_upstream: this.#bytesTo,
			bytes_from_upstream: this.#bytesFrom,
		};
	}

	close(): void {
		this.#server.close();
		this.#dropAll();
	}

	#accept(client: Socket): void {
		if (this.#faults.cut) {
			client.resetAndDestroy();
			return;
		}

		const [host, port] = this.#upstream.split(':');
		const upstream = connect({
			host: host ?? LOOPBACK, port: Number(port), allowHalfOpen: true, noDelay: true,
		});
		client.setNoDelay(true);
		this.#connect(client, upstream);
	}

	#connect(client: Socket, upstream: Socket): void {
		const {clock} = this;
		const faults = (): LinkFaults => this.#faults;
		let bytes = 0;
		const count = (added: number): void => {
			bytes += added;
			if (this.#faults.dropAfterBytes > 0 && bytes >= this.#faults.dropAfterBytes) {
				this.#drop(connection);
			}
		};

		const toUpstream = new Pump(client, upstream, {
			clock, faults, isHeld: ({freeze, oneWayCut}) => freeze || oneWayCut === 'to_upstream',
			onForward: added => {
				this.#bytesTo += added;
				count(added);
			},
		});
		const fromUpstream = new Pump(upstream, client, {
			clock, faults, isHeld: ({freeze, oneWayCut}) => freeze || oneWayCut === 'from_upstream',
			onForward: added => {
				this.#bytesFrom += added;
				count(added);
			},
		});
		const connection: Connection = {sockets: [client, upstream], pumps: [toUpstream, fromUpstream]};
		this.#connections.add(connection);
		this.#watch(connection);
	}

	/** Resets both sides of a connection after an error on one of them. */
	#watch(connection: Connection): void {
		for (const socket of connection.sockets) {
			socket.on('error', () => {
				this.#drop(connection);
			});
			socket.on('close', () => {
				if (connection.sockets.every(({destroyed}) => destroyed)) {
					this.#connections.delete(connection);
				}
			});
		}
	}

	#drop(connection: Connection): void {
		this.#connections.delete(connection);
		for (const pump of connection.pumps) {
			pump.stop();
		}

		for (const socket of connection.sockets) {
			reset(socket);
		}
	}

	#dropAll(): void {
		for (const connection of this.#connections) {
			this.#drop(connection);
		}
	}
}
