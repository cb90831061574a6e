/** A plain target with large responses, endless streams, and request bodies that it does not read. */
import {Buffer} from 'node:buffer';
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {type ExecutionContext} from 'ava';
import {listen} from '../../src/runtime/entry/listen.js';

const CHUNK = Buffer.alloc(65_536, 'x');
/** One event without its id. It is far larger than the events of model engines, so that a few events fill the socket buffers. */
const EVENT_END = `\ndata: ${'x'.repeat(4000)}\n\n`;
/** Number of events in one write to the connection. */
const EVENTS_PER_WRITE = 16;

export type BigTarget = {
	readonly address: string;
	/** Returns the number of requests that have arrived. */
	readonly arrivals: () => number;
};

const responseHeaders = (req: IncomingMessage): http.OutgoingHttpHeaders => ({
	'x-attempt-id': req.headers['x-attempt-id'], 'x-server-stamp': 'big.1', 'x-instance-load': '1,0,400',
});

/** Writes a response body of `bytes` as fast as it is read. */
const writeBytes = (res: ServerResponse, bytes: number): void => {
	let left = bytes;
	const writeMore = (): void => {
		while (left > 0 && !res.writableNeedDrain && !res.destroyed) {
			const chunk = CHUNK.subarray(0, Math.min(left, CHUNK.length));
			left -= chunk.length;
			res.write(chunk);
		}

		if (left === 0) {
			res.end();
		}
	};

	res.on('drain', writeMore);
	writeMore();
};

/** Writes events as fast as they are read, until the connection is closed. */
const writeEvents = (res: ServerResponse): void => {
	let id = 0;
	const writeMore = (): void => {
		while (!res.writableNeedDrain && !res.destroyed) {
			let events = '';
			for (let index = 0; index < EVENTS_PER_WRITE; index++) {
				id++;
				events += `id: ${id}${EVENT_END}`;
			}

			res.write(events);
		}
	};

	res.on('drain', writeMore);
	writeMore();
};

/**
 * Starts the target. A path ends in the length of the response, as in `/look/1048576`; the body
 * of a request to `/debit/stuck` is never read, and `/brief/events` is an endless stream.
 */
export const startBigTarget = async (t: ExecutionContext): Promise<BigTarget> => {
	let arrivals = 0;
	const server = http.createServer((req, res) => {
		arrivals++;
		if (req.url?.endsWith('/stuck')) {
			return;
		}

		req.resume();
		if (req.url?.endsWith('/events')) {
			res.writeHead(200, {...responseHeaders(req), 'content-type': 'text/event-stream'});
			writeEvents(res);
			return;
		}

		const bytes = Number(req.url?.split('/').at(-1));
		res.writeHead(200, {...responseHeaders(req), 'content-length': String(bytes)});
		writeBytes(res, bytes);
	});
	const address = await listen(server, {host: '127.0.0.1', port: 0});
	t.teardown(() => {
		server.close();
		server.closeAllConnections();
	});
	return {address, arrivals: () => arrivals};
};
