/** A target or store on a raw socket that sends bytes without end, all but one shape of which belong to no body; the path of a request names their shape. */
import {type ExecutionContext} from 'ava';
import {startRawServer} from './_raw-server.js';

const PIECE_BYTES = 65_536;
const repeat = (text: string): string => text.repeat(Math.ceil(PIECE_BYTES / text.length));

/** What is sent once, after the status line and the headers of a proper response, and what is repeated without end. */
type Shape = {readonly first: (head: string) => string; readonly endless: string};

const chunked = (head: string): string => `HTTP/1.1 200 OK\r\n${head}transfer-encoding: chunked\r\n\r\n`;

export const shapes = {
	extension: {first: head => `${chunked(head)}4;ext=`, endless: repeat('x')},
	'extension-of-last-chunk': {first: head => `${chunked(head)}4\r\ndone\r\n0;ext=`, endless: repeat('x')},
	'extension-of-event': {first: head => `${chunked(`content-type: text/event-stream\r\n${head}`)}10\r\nid: 1\ndata: one\n\n\r\n4;ext=`, endless: repeat('x')},
	'long-extensions-of-single-bytes': {first: chunked, endless: `1;ext=${repeat('x').slice(16)}\r\nx\r\n`},
	'size-of-chunk': {first: head => chunked(head), endless: repeat('0')},
	'early-hints': {first: () => '', endless: repeat('HTTP/1.1 103 Early Hints\r\nlink: </style>\r\n\r\n')},
	processing: {first: () => '', endless: repeat('HTTP/1.1 102 Processing\r\n\r\n')},
	'empty-lines': {first: () => '', endless: repeat('\r\n')},
	'header-value': {first: head => `HTTP/1.1 200 OK\r\n${head}x-more: `, endless: repeat('x')},
	'header-lines': {first: head => `HTTP/1.1 200 OK\r\n${head}`, endless: repeat('x-more: 1\r\n')},
	garbage: {first: () => '', endless: repeat('garbage ')},
	body: {first: chunked, endless: `${PIECE_BYTES.toString(16)}\r\n${repeat(' ')}\r\n`},
	trailers: {first: head => `${chunked(head)}4\r\ndone\r\n0\r\n`, endless: repeat('x-more: 1\r\n')},
	'after-body': {first: head => `HTTP/1.1 200 OK\r\n${head}content-length: 4\r\n\r\ndone`, endless: repeat('x')},
} as const satisfies Readonly<Record<string, Shape>>;

export type ShapeName = keyof typeof shapes;

export type EndlessServer = {
	readonly address: string;
	/** Largest number of bytes that a caller took from one connection, those in the buffers of the system included. */
	readonly mostWritten: () => number;
	/** Number of connections on which bytes are still being sent. */
	readonly sending: () => number;
	/** Longest time in milliseconds from the first byte of a response to the end of its connection. */
	readonly longestMs: () => number;
};

const fieldOf = (text: string, name: string): string => new RegExp(String.raw`^${name}: (\S+)`, 'imv').exec(text)?.[1] ?? '';

/** Starts the server. Every request whose path does not end with a shape gets `fallback`. */
export const startEndlessServer = async (t: ExecutionContext, fallback: ShapeName = 'extension'): Promise<EndlessServer> => {
	let mostWritten = 0;
	let longestMs = 0;
	const {address, sockets} = await startRawServer(t, socket => {
		let startMs = 0;
		socket.on('close', () => {
			mostWritten = Math.max(mostWritten, socket.bytesWritten);
			longestMs = startMs === 0 ? longestMs : Math.max(longestMs, performance.now() - startMs);
		});
		socket.once('data', chunk => {
			startMs = performance.now();
			const text = chunk.toString('latin1');
			const name = (text.split(' ', 2)[1] ?? '').split('/').at(-1) ?? '';
			const {first, endless} = Object.hasOwn(shapes, name) ? shapes[name as ShapeName] : shapes[fallback]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- checked
			const id = fieldOf(text, 'x-attempt-id');
			socket.write(first(`x-attempt-id: ${id}\r\nx-request-id: ${fieldOf(text, 'x-request-id')}\r\nx-server-stamp: s.1\r\n`));
			const writeMore = () => {
				while (!socket.destroyed && socket.write(endless)) {
					// Writes until the buffer is full.
				}
			};

			socket.on('drain', writeMore);
			writeMore();
		});
	});
	return {
		address,
		mostWritten: () => Math.max(mostWritten, ...[...sockets].map(({bytesWritten}) => bytesWritten)),
		sending: () => sockets.size,
		longestMs: () => longestMs,
	};
};
