/** The graceful stop of an HTTP server: every answer ends, then every connection. */
import {once} from 'node:events';
import {type Server, type ServerResponse} from 'node:http';
import {Server as NetServer} from 'node:net';
import {waitForSocketReads} from './wait-for-socket-reads.js';

/** Turns of the event loop that are waited at most for connections that have been opened but not accepted; one is accepted a turn. */
const MAX_ACCEPT_TURNS = 64;

export type ServerStop = {
	/**
	 * From now on each answer tells its caller to close the connection, while new ones are
	 * still taken. So no caller sends a request just as its idle connection is closed.
	 */
	readonly leave: () => void;
	/**
	 * Takes no new connection, lets open answers end with their connections, and resolves
	 * when none is left. Connections on which no whole request has arrived in time are cut.
	 */
	readonly stop: () => Promise<void>;
};

/** Prepares the stop; to be called before the server takes requests. */
export const createServerStop = (server: Server, readTimeoutMs: number): ServerStop => {
	const responses = new Set<ServerResponse>();
	let leaving = false;
	let stopping = false;
	let accepted = 0;
	let isClosingIdle = false;

	server.on('connection', () => {
		accepted++;
	});

	/** Resolves once the connections have been read. Goes on while connections are accepted. */
	const waitForAccepted = async (): Promise<void> => {
		let before = -1;
		for (let turns = 0; turns < MAX_ACCEPT_TURNS && before !== accepted; turns += 2) {
			before = accepted;
			await waitForSocketReads(); // eslint-disable-line no-await-in-loop
		}
	};

	/** Closes idle connections, but none whose next request has arrived and was not read yet. */
	const closeIdle = async (): Promise<void> => {
		if (!isClosingIdle) {
			isClosingIdle = true;
			await waitForAccepted();
			isClosingIdle = false;
			server.closeIdleConnections();
		}
	};

	server.on('request', (_, res) => {
		responses.add(res);
		res.once('close', () => {
			responses.delete(res);
			if (stopping) {
				void closeIdle();
			}
		});
		if (leaving) {
			res.setHeader('connection', 'close');
		}
	});

	return {
		leave() {
			leaving = true;
		},
		async stop() {
			leaving = true;
			stopping = true;
			await waitForAccepted();
			const ended = once(server, 'close');
			// The HTTP server's own method closes idle connections at once, also those with an unread request.
			NetServer.prototype.close.call(server);
			void closeIdle();
			// A closed server no longer times out slow requests itself.
			const timer = setInterval(() => {
				if (responses.size === 0) {
					server.closeAllConnections();
				}
			}, readTimeoutMs);
			await ended;
			clearInterval(timer);
		},
	};
};
