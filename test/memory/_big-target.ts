/** A plain target whose answers and reading of bodies are as slow or large as the test says. */
import {Buffer} from 'node:buffer';
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {type ExecutionContext} from 'ava';
import {listen} from '../../src/runtime/entry/listen.js';

const CHUNK = Buffer.alloc(65_536, 'x');
/** One event without its number, far larger than engines' own, so that few are needed to fill the system's buffers. */
const EVENT_END = `\ndata: ${'x'.repeat(4000)}\n\n`;
/** Events that are given to the connection at once. */
const EVENTS_PER_WRITE = 16;

export type BigTarget = {
	readonly address: string;
	readonly arrivals: () => number;
};

const responseHeaders = (req: IncomingMessage): http.OutgoingHttpHeaders => ({
	'x-attempt-id': req.headers['x-attempt-id'], 'x-server-stamp': 'big.1', 'x-instance-load': '1,0,400',
});

/** Writes an answer of `bytes` as fast as it is read. */
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

/** Writes events as fast as they are read, until the other side closes. */
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
 * Paths end in the bytes of the answer, as in `/look/1048576`; `/debit/stuck` is a request
 * whose body is never read, `/brief/events` an endless stream.
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
