/**
 * Finds free ports for processes that must know each other's addresses before they start.
 * The ports are below the ephemeral range, from which the system picks ports for outgoing
 * connections and for port 0, so that none of these takes a port before its process listens.
 */
import {once} from 'node:events';
import {createServer} from 'node:net';
import {threadId} from 'node:worker_threads';

const LOOPBACK = '127.0.0.1';
const FIRST_PORT = 10_000;
const PORTS = 22_000;
/** Distance between the first candidates of two process ids, so that concurrent searches try different ports; the next constant does this for worker threads. */
const PORTS_PER_PROCESS = 101;
const PORTS_PER_THREAD = 1009;

let offset = (process.pid * PORTS_PER_PROCESS) + (threadId * PORTS_PER_THREAD);

const nextPort = (): number => {
	offset = (offset + 1) % PORTS;
	return FIRST_PORT + offset;
};

const isFree = async (port: number): Promise<boolean> => {
	const server = createServer();
	try {
		server.listen(port, LOOPBACK);
		await once(server, 'listening');
		return true;
	} catch {
		return false;
	} finally {
		server.close();
	}
};

const freeAddress = async (): Promise<string> => {
	const port = nextPort();
	return await isFree(port) ? `${LOOPBACK}:${port}` : freeAddress();
};

/** Returns distinct loopback addresses whose ports were free when checked. */
export const freeAddresses = async (count: number): Promise<readonly string[]> =>
	Promise.all(Array.from({length: count}, async () => freeAddress()));
