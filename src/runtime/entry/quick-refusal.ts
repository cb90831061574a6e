/**
 * A refusal at the least cost: one write of a whole HTTP answer, after which the connection
 * is closed. Answers of Node's HTTP server cost several times as much, which matters when a
 * VM refuses several hundred requests a second.
 */
import {type IncomingMessage} from 'node:http';

/** Milliseconds for which a body that is still arriving is read; callers have to be answered within half a second. */
const MAX_BODY_MS = 250;
/** Bytes of a body that are read, beyond those of usual prompts. */
const MAX_BODY_BYTES = 1_048_576;
/** Milliseconds that a slow caller gets to read the refusal before its connection is cut. */
const REFUSAL_READ_MS = 5000;

const hasBody = ({headers}: IncomingMessage): boolean =>
	headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;

/** Calls back once the body has been read, or has taken too long or too much; not if the connection ends. */
const afterBody = (req: IncomingMessage, then: () => void): void => {
	let bytes = 0;
	let isOver = false;
	const end = () => {
		if (!isOver) {
			isOver = true;
			clearTimeout(timer);
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
	req.once('close', () => {
		isOver = true;
		clearTimeout(timer);
	});
};

/**
 * Writes `answer`, a whole HTTP answer with `Connection: close`, and closes the connection.
 * A connection that is closed with unread bytes is reset, and the refusal lost, so a body
 * is read first, within bounds.
 */
export const refuseAtOnce = (req: IncomingMessage, answer: string): void => {
	const {socket} = req;
	const write = () => {
		if (socket.destroyed) {
			return;
		}

		socket.write(answer, 'latin1');
		socket.destroySoon();
		if (socket.writableLength > 0) {
			socket.setTimeout(REFUSAL_READ_MS, () => {
				socket.destroy();
			});
		}
	};

	if (hasBody(req) && !req.complete) {
		afterBody(req, write);
	} else {
		write();
	}
};
