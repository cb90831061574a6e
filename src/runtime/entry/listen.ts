/** Binds HTTP servers to an address. */
import {once} from 'node:events';
import {type Server} from 'node:http';
import process from 'node:process';

export type ListenAddress = {
	readonly host: string;
	readonly port: number;
	/** Most connections that the system queues until they are accepted; Node's default of 511 if absent. */
	readonly backlog?: number;
	/** Whether other listeners may be bound to the same address; the system distributes new connections over them. */
	readonly reusePort?: boolean;
};

/** First version of Node whose listeners can share an address, as its major and minor number. */
const SHARES_PORT_SINCE: readonly [number, number] = [22, 12];

/** Whether several listeners of this process can share an address on this system and runtime. */
export const canSharePort = (version = process.versions.node, platform: string = process.platform): boolean => {
	const [major = 0, minor = 0] = version.split('.').map(Number);
	const [sinceMajor, sinceMinor] = SHARES_PORT_SINCE;
	return platform === 'linux' && (major > sinceMajor || (major === sinceMajor && minor >= sinceMinor));
};

/** Binds a server. Resolves to the `host:port` in use; rejects when the address cannot be bound. */
export const listen = async (server: Server, {host, port, backlog, reusePort = false}: ListenAddress): Promise<string> => {
	const options = {
		host, port, ...(backlog !== undefined && {backlog}), ...(reusePort && {reusePort}),
	};
	server.listen(options);
	await once(server, 'listening');
	const bound = server.address();
	if (bound === null || typeof bound === 'string') {
		return host;
	}

	return bound.family === 'IPv6' ? `[${bound.address}]:${bound.port}` : `${bound.address}:${bound.port}`;
};
