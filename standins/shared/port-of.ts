import {type Server} from 'node:net';

/** Returns the port on which a TCP server listens; 0 if it does not listen. */
export const portOf = (server: Server): number => {
	const address = server.address();
	return typeof address === 'object' && address !== null ? address.port : 0;
};
