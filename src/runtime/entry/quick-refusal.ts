/**
 * Refuses a request at little cost: one write without a body. The connection stays open, since
 * accepting a new connection of the caller would cost more than its next request on this one.
 *
 * Intended for a VM that refuses several hundred requests a second.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import process from 'node:process';

/** Milliseconds for which a body that is still arriving is read; callers must get a response within half a second. */
const MAX_BODY_MS = 250;
/** Most bytes of a body that are read; typical prompts are smaller. */
const MAX_BODY_BYTES = 1_048_576;
/** Milliseconds that a slow caller has to read the refusal before its connection is closed. */
const REFUSAL_READ_MS = 5000;

/** A response without a body. Its headers are a flat list of alternating names and values. */
export type QuickResponse = {
	readonly status: number;
	readonly headers: readonly string[];
};

/** Calls `then` once the body has been read, or has exceeded its limit of time or size. Does not call it if the connection closes first. */
const onceBodyRead = (req: IncomingMessage, then: () => void): void => {
	let bytes = 0;
	let isOver = false;
	const stop = () => {
		isOver = true;
		clearTimeout(timer);
	};

	const end = () => {
		if (!isOver) {
			stop();
			then();
		}
	};

	const timer = setTimeout(end, MAX_BODY_MS);
	req.on('data', (chunk: Uint8Array) => {
		bytes += chunk.length;
		if (bytes > MAX_BODY_BYTES) {
			end();
		}
	});
	req.once('end', end);
	req.once('close', stop);
};

/**
 * Writes a response once the request's body has been read, or has exceeded its limits. The body is
 * discarded to its end: if the connection were closed with unread bytes, the system would reset it
 * and the caller could lose the refusal.
 */
export const refuseAtOnce = (req: IncomingMessage, res: ServerResponse, {status, headers}: QuickResponse): void => {
	const write = () => {
		res.sendDate = false;
		res.writeHead(status, [...headers, 'content-length', '0']);
		res.end();
		if (!res.writableFinished && req.socket.writableLength > 0) {
			const timer = setTimeout(() => {
				res.destroy();
			}, REFUSAL_READ_MS);
			res.once('close', () => {
				clearTimeout(timer);
			});
		}
	};

	// On the next tick, a body that arrived together with its headers has been read.
	process.nextTick(() => {
		if (req.complete) {
			write();
		} else {
			onceBodyRead(req, write);
		}
	});
};
