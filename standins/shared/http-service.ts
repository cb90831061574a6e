/** HTTP server and helpers that all stand-ins share. */
import {once} from 'node:events';
import {Buffer} from 'node:buffer';
import {createServer, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import polka from 'polka';
import {JackdawwoodError} from '../../src/core/errors/jackdawwood-error.js';
import {asError} from './as-error.js';
import {StandinBodyInvalid} from './errors-data.js';
import {portOf} from './port-of.js';
import {
	type Handler, type HttpRequest, type Route, type Standin,
} from './types.js';

const LOOPBACK = '127.0.0.1';
const MAX_BODY_BYTES = 8 * 1024 * 1024;

/** HTTP server of a stand-in. */
export type HttpService = Standin & {
	/** Closes every connection with a TCP reset. */
	readonly resetAll: () => void;
};

/** Sends a response with a JSON body. Does nothing if the connection is closed or a response has begun. */
export const sendJson = (res: ServerResponse, status: number, body: unknown, headers: Readonly<Record<string, string>> = {}): void => {
	if (res.destroyed || res.headersSent) {
		return;
	}

	res.writeHead(status, {...headers, 'content-type': 'application/json'});
	res.end(JSON.stringify(body));
};

/** Reads a complete request body. Throws `StandinBodyInvalid` if it is too long. */
export const readBody = async (req: HttpRequest): Promise<Uint8Array> => {
	const chunks: Uint8Array[] = [];
	let bytes = 0;
	for await (const chunk of req as AsyncIterable<Uint8Array>) {
		bytes += chunk.length;
		if (bytes > MAX_BODY_BYTES) {
			throw new JackdawwoodError(StandinBodyInvalid, {fault: 'longer than 8 MiB'});
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
};

/** Reads a JSON body; an empty body counts as an empty object. Throws `StandinBodyInvalid`. */
export const readJson = async (req: HttpRequest): Promise<unknown> => {
	const body = new TextDecoder().decode(await readBody(req));
	try {
		return body === '' ? {} : JSON.parse(body) as unknown;
	} catch (error) {
		throw new JackdawwoodError(StandinBodyInvalid, {fault: 'not JSON'}, asError(error));
	}
};

const sendError = (res: ServerResponse, err: unknown): void => {
	if (err instanceof JackdawwoodError) {
		sendJson(res, 400, {error: {name: err.data.name, message: err.message}});
		return;
	}

	res.destroy();
};

const runGuarded = async (handler: Handler, req: HttpRequest, res: ServerResponse): Promise<void> => {
	try {
		await handler(req, res);
	} catch (error) {
		sendError(res, error);
	}
};

const guarded = (handler: Handler) => (req: HttpRequest, res: ServerResponse): void => {
	void runGuarded(handler, req, res);
};

/** Converts a handler to Polka's type, which declares Express's request although Polka passes another one. */

const asPolka = (handler: (req: HttpRequest, res: ServerResponse) => void) => handler as (...args: any[]) => void;

/** Closes a connection with a TCP reset, as when the process crashes. */
export const resetConnection = (res: ServerResponse): void => {
	res.socket?.resetAndDestroy();
};

/**
 * Serves the routes on loopback. `fallback` handles requests that match no route. Port 0
 * chooses any free port.
 */
export const startHttpService = async (port: number, routes: readonly Route[], fallback?: Handler): Promise<HttpService> => {
	const server = createServer({keepAliveTimeout: 60_000});
	const sockets = new Set<Socket>();
	server.on('connection', socket => {
		socket.setNoDelay(true);
		sockets.add(socket);
		socket.once('close', () => {
			sockets.delete(socket);
		});
	});
	const notFound: Handler = (req, res) => {
		sendJson(res, 404, {error: {name: 'NotFound', message: req.path}});
	};

	const app = polka({server, onNoMatch: guarded(fallback ?? notFound)});
	for (const [method, pattern, handler] of routes) {
		app.add(method, pattern, asPolka(guarded(handler)));
	}

	app.listen(port, LOOPBACK);
	await once(server, 'listening');
	return {
		address: `${LOOPBACK}:${portOf(server)}`,
		async close() {
			server.close();
			server.closeAllConnections();
			await Promise.resolve();
		},
		resetAll() {
			for (const socket of sockets) {
				socket.resetAndDestroy();
			}
		},
	};
};
