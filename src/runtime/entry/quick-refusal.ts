/**
 * A refusal at little cost: one write without a body. The connection stays open, since a
 * caller that opens another one costs more than its next request.
 * Handles a VM that refuses several hundred requests a second.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import process from 'node:process';

/** Milliseconds for which a body that is still arriving is read; callers have to be answered within half a second. */
const MAX_BODY_MS = 250;
/** Bytes of a body that are read, beyond those of usual prompts. */
const MAX_BODY_BYTES = 1_048_576;
/** Milliseconds that a slow caller gets to read the refusal before its connection is cut. */
const REFUSAL_READ_MS = 5000;

/** An answer without a body, with its headers as names and values in turn. */
export type QuickResponse = {
	readonly status: number;
	readonly headers: readonly string[];
};

/** Calls back once the body has been read, or has taken too long or too much; not if the connection ends. */
const afterBody = (req: IncomingMessage, then: () => void): void => {
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
 * Writes an answer after the body, or within bounds before its end; the rest is read to nowhere.
 * A connection that is closed with unread bytes would be reset, and the refusal lost.
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

	// A body that came in one piece with its head has been read by then.
	process.nextTick(() => {
		if (req.complete) {
			write();
		} else {
			afterBody(req, write);
		}
	});
};
