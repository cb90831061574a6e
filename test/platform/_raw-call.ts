/** A caller on a connection of its own, that judges by the response's framing alone whether the response is complete. */
import {connect} from 'node:net';
import {HOST, KEY} from './_platform.js';

const END_OF_HEAD = '\r\n\r\n';

/** How the connection ended: `open` if it did not end, `closed` for an orderly end, `reset` for any other. */
export type ConnectionEnd = 'open' | 'closed' | 'reset';

export type RawResponse = {
	/** 0 if no head arrived. */
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: string;
	readonly framing: 'none' | 'length' | 'chunks' | 'until-close' | 'no-body';
	/** Whether the response is complete by HTTP's framing rules. */
	readonly isComplete: boolean;
	/** Whether HTTP clients can tell a cut from the end: a response that only the end of the connection ends looks alike to many of them. */
	readonly showsCuts: boolean;
};

const NO_RESPONSE: RawResponse = {
	status: 0, headers: {}, body: '', framing: 'none', isComplete: false, showsCuts: true,
};

/** Decodes a chunked body; complete once its last chunk and the trailer section have arrived. */
const decodeChunks = (text: string): {readonly body: string; readonly isComplete: boolean} => {
	let body = '';
	let at = 0;
	for (;;) {
		const lineEnd = text.indexOf('\r\n', at);
		const size = lineEnd === -1 ? Number.NaN : Number.parseInt(text.slice(at, lineEnd), 16);
		if (Number.isNaN(size) || (size > 0 && lineEnd + 2 + size > text.length)) {
			return {body: body + (lineEnd === -1 ? '' : text.slice(lineEnd + 2)), isComplete: false};
		}

		if (size === 0) {
			return {body, isComplete: text.includes('\r\n', lineEnd + 2)};
		}

		body += text.slice(lineEnd + 2, lineEnd + 2 + size);
		at = lineEnd + 2 + size + 2;
	}
};

/** Reads a response from what has arrived, in Latin-1. */
export const readResponse = (text: string, method: string, end: ConnectionEnd): RawResponse => {
	const headEnd = text.indexOf(END_OF_HEAD);
	if (headEnd === -1) {
		return NO_RESPONSE;
	}

	const [statusLine = '', ...lines] = text.slice(0, headEnd).split('\r\n');
	const headers = Object.fromEntries(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]));
	const rest = text.slice(headEnd + END_OF_HEAD.length);
	const status = Number(statusLine.split(' ')[1]);
	const head = {status, headers, showsCuts: true};
	if (method === 'HEAD' || status === 204 || status === 304) {
		return {
			...head, body: rest, framing: 'no-body', isComplete: true,
		};
	}

	if (headers['transfer-encoding'] === 'chunked') {
		return {...head, ...decodeChunks(rest), framing: 'chunks'};
	}

	return headers['content-length'] === undefined
		? {
			...head, body: rest, framing: 'until-close', isComplete: end === 'closed', showsCuts: false,
		}
		: {
			...head, body: rest, framing: 'length', isComplete: rest.length >= Number(headers['content-length']),
		};
};

export type RawCall = {
	readonly method?: string;
	readonly httpVersion?: '1.0' | '1.1';
	readonly headers?: Readonly<Record<string, string>>;
	/** Called with the part of the body that has arrived. */
	readonly onBody?: (body: string) => void;
	/** Milliseconds for which the caller reads nothing. */
	readonly pauseMs?: number;
};

let calls = 0;

/** Sends a request; resolves to its response when that is complete or the connection has ended. */
export const callRaw = async (address: string, path: string, {method = 'POST', httpVersion = '1.1', headers = {}, onBody, pauseMs = 0}: RawCall = {}): Promise<RawResponse> => {
	const [host = '', port = ''] = address.split(':');
	const body = method === 'POST' ? '{}' : '';
	calls++;
	const fields = {
		host: HOST, 'x-attempt-id': `raw${calls}`, 'x-api-key': KEY, 'x-deadline-ms': '4000', 'content-length': String(body.length), ...headers,
	};
	const socket = connect(Number(port), host);
	socket.write(`${method} ${path} HTTP/${httpVersion}\r\n${Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n${body}`);
	return new Promise(resolve => {
		let received = '';
		let end: ConnectionEnd = 'open';
		socket.setEncoding('latin1');
		if (pauseMs > 0) {
			socket.pause();
			setTimeout(() => {
				socket.resume();
			}, pauseMs);
		}

		socket.on('data', (chunk: string) => {
			received += chunk;
			const response = readResponse(received, method, 'open');
			onBody?.(response.body);
			if (response.isComplete) {
				socket.end();
			}
		});
		socket.on('error', () => {
			end = 'reset';
		});
		socket.on('end', () => {
			// Node may report a reset right after the last bytes as an end; the socket then has no remote address.
			end = end === 'reset' || socket.remoteAddress === undefined ? 'reset' : 'closed';
		});
		socket.on('close', () => {
			resolve(readResponse(received, method, end));
		});
	});
};
