/** Binds a server to an address. */
import {once} from 'node:events';
import {type Server} from 'node:http';

/** Resolves to the `host:port` in use. Rejects when the address cannot be bound. */
export const listen = async (server: Server, {host, port}: {readonly host: string; readonly port: number}): Promise<string> => {
	server.listen(port, host);
	await once(server, 'listening');
	const bound = server.address();
	if (bound === null || typeof bound === 'string') {
		return host;
	}

	return bound.family === 'IPv6' ? `[${bound.address}]:${bound.port}` : `${bound.address}:${bound.port}`;
};
