/** Loopback servers, free ports and reading of bodies. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import net from 'node:net';

export const HOST = '127.0.0.1';

export const listen = async (server, port = 0) => {
	server.listen(port, HOST);
	await once(server, 'listening');
	return `${HOST}:${server.address().port}`;
};

export const readAll = async stream => {
	const chunks = [];
	for await (const chunk of stream) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
};

/** Ports below the range from which the system picks those of outgoing channels. */
let nextPort = 11_000 + ((process.pid * 101) % 18_000);

const isFree = async port => {
	const server = net.createServer();
	try {
		await listen(server, port);
		return true;
	} catch {
		return false;
	} finally {
		server.close();
	}
};

/** Returns the address of a free port. */
export const freeAddress = async () => {
	nextPort++;
	const port = nextPort;
	return await isFree(port) ? `${HOST}:${port}` : freeAddress();
};
