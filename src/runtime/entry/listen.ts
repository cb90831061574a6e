/** Binds a server to an address. */
import {once} from 'node:events';
import {type Server} from 'node:http';

export type ListenAddress = {
	readonly host: string;
	readonly port: number;
	/** Connections that may wait to be accepted; Node's default of 511 if absent. */
	readonly backlog?: number;
};

/** Resolves to the `host:port` in use. Rejects when the address cannot be bound. */
export const listen = async (server: Server, {host, port, backlog}: ListenAddress): Promise<string> => {
	server.listen({host, port, ...(backlog !== undefined && {backlog})});
	await once(server, 'listening');
	const bound = server.address();
	if (bound === null || typeof bound === 'string') {
		return host;
	}

	return bound.family === 'IPv6' ? `[${bound.address}]:${bound.port}` : `${bound.address}:${bound.port}`;
};
