/** Stops an HTTP server gracefully: every response is completed, then every connection is closed. */
import {once} from 'node:events';
import {type Server, type ServerResponse} from 'node:http';
import {Server as NetServer} from 'node:net';
import {waitForSocketReads} from './wait-for-socket-reads.js';

/** Most turns of the event loop for which the stop waits for connections that callers have opened and the server has not accepted yet. It accepts one per turn. */
const MAX_ACCEPT_TURNS = 64;

export type ServerStop = {
	/**
	 * Adds `connection: close` to each response from this call on, while new connections are still
	 * accepted. Otherwise a caller could send a request just as its idle connection is closed.
	 */
	readonly leave: () => void;
	/**
	 * Accepts no new connection, completes open responses and then closes their connections.
	 * Resolves when no connection is left. A connection on which no complete request arrives in time
	 * is closed.
	 */
	readonly stop: () => Promise<void>;
};

/** Prepares the stop of a server; to be called before the server accepts requests. */
export const createServerStop = (server: Server, readTimeoutMs: number): ServerStop => {
	const responses = new Set<ServerResponse>();
	let leaving = false;
	let stopping = false;
	let accepted = 0;
	let isClosingIdle = false;

	server.on('connection', () => {
		accepted++;
	});

	/** Resolves once all connections have been read and no further one has been accepted meanwhile, or after `MAX_ACCEPT_TURNS`. */
	const waitForAccepted = async (): Promise<void> => {
		let before = -1;
		for (let turns = 0; turns < MAX_ACCEPT_TURNS && before !== accepted; turns += 2) {
			before = accepted;
			await waitForSocketReads(); // eslint-disable-line no-await-in-loop
		}
	};

	/** Closes idle connections, except those on which a request has arrived that was not read yet. */
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
			// `close` of the HTTP server would close idle connections at once, also those with an unread request.
			NetServer.prototype.close.call(server);
			void closeIdle();
			// A closed HTTP server no longer applies its own timeouts to slow requests.
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
