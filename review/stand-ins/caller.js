/** A caller on a connection of its own: sends one request and judges by the protocol's framing alone whether its answer is complete. */
import {Buffer} from 'node:buffer';
import net from 'node:net';

const endOfHead = '\r\n\r\n';

/** Decodes a chunked body; `isWhole` once its last chunk has arrived. */
const decodeChunks = bytes => {
	const parts = [];
	let at = 0;
	for (;;) {
		const lineEnd = bytes.indexOf('\r\n', at);
		const size = lineEnd === -1 ? Number.NaN : Number.parseInt(bytes.toString('latin1', at, lineEnd), 16);
		if (Number.isNaN(size) || lineEnd + 2 + size > bytes.length) {
			return {body: Buffer.concat([...parts, lineEnd === -1 ? Buffer.alloc(0) : bytes.subarray(lineEnd + 2)]), isWhole: false};
		}

		if (size === 0) {
			return {body: Buffer.concat(parts), isWhole: bytes.includes('\r\n', lineEnd + 2)};
		}

		parts.push(bytes.subarray(lineEnd + 2, lineEnd + 2 + size));
		at = lineEnd + 2 + size + 2;
	}
};

/** Reads what arrived until the connection ended; `end` is `closed` for an orderly end and `reset` for any other. */
export const readAnswer = (bytes, end) => {
	const headEnd = bytes.indexOf(endOfHead);
	if (headEnd === -1) {
		return {
			status: 0, headers: {}, body: '', framing: 'none', looksComplete: false, end,
		};
	}

	const [statusLine, ...lines] = bytes.toString('latin1', 0, headEnd).split('\r\n');
	const headers = Object.fromEntries(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]));
	const rest = bytes.subarray(headEnd + endOfHead.length);
	const answer = {status: Number(statusLine.split(' ')[1]), headers, end};
	if (headers['transfer-encoding'] === 'chunked') {
		const {body, isWhole} = decodeChunks(rest);
		return {
			...answer, body: body.toString(), framing: 'chunked', looksComplete: isWhole,
		};
	}

	return headers['content-length'] === undefined
		? {
			...answer, body: rest.toString(), framing: 'until close', looksComplete: end === 'closed',
		}
		: {
			...answer, body: rest.toString(), framing: 'length', looksComplete: rest.length >= Number(headers['content-length']),
		};
};

/** Sends a request; resolves to its answer when the answer is whole or the connection has ended. */
export const callOnce = async ({ip, frontend}, {method, path, headers, body = ''}) => new Promise(resolve => {
	const socket = net.connect(frontend, ip);
	let received = Buffer.alloc(0);
	let end;
	const finish = how => {
		end ??= how;
	};

	socket.on('connect', () => {
		const lines = Object.entries({...headers, 'content-length': String(Buffer.byteLength(body))}).map(([name, value]) => `${name}: ${value}\r\n`);
		socket.write(`${method} ${path} HTTP/1.1\r\n${lines.join('')}\r\n${body}`);
	});
	socket.on('data', chunk => {
		received = Buffer.concat([received, chunk]);
		const {framing, looksComplete} = readAnswer(received, 'open');
		if (framing !== 'none' && framing !== 'until close' && looksComplete) {
			finish('open');
			socket.end();
		}
	});
	socket.on('end', () => {
		// After a reset that is reported as an end the socket has no remote address.
		finish(socket.remoteAddress === undefined ? 'reset' : 'closed');
	});
	socket.on('error', () => {
		finish('reset');
	});
	socket.on('close', () => {
		resolve(readAnswer(received, end ?? 'reset'));
	});
});
