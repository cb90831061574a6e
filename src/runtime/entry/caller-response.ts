/** Writes the response to one caller: once, and either complete or with an explicit error. */
import {Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {type RefusalError} from '../../core/errors/refusal-error.js';
import {noAccount, type MemoryAccount} from '../memory/memory-accounts.js';
import {hasNoBody} from '../http/no-body.js';
import {type Headers} from './job.js';
import {errorEvent, writeRefusal} from './refuse.js';

/** Milliseconds that a slow caller has to read a refusal before its connection is closed. */
const REFUSAL_READ_MS = 5000;
/** Most bytes written to the connection at once: as many as one read returns. A long response is written in several steps, so that the progress of a slow caller can be observed. */
const SLICE_BYTES = 65_536;
/** Most bytes that the connection to a target buffers while it is paused: 16 KB that were read before the pause, and one more read of 64 KB. */
const PAUSED_TARGET_BYTES = 81_920;
/** Most bytes of a response without a known length that are held for a caller that understands no chunks. */
const MAX_HELD_BYTES = 1_048_576;

/**
 * The response to one caller. Writes after its end, or after the caller has disconnected, have
 * no effect, so that a late response from a target cannot reach any caller.
 */
export type CallerResponse = {
	/**
	 * Writes status and headers. A response without a `content-length` header is sent in chunks, so that its
	 * end is explicit however the target marks it: a cut then shows even when this process is killed. For a
	 * caller of HTTP/1.0, which understands no chunks, the response is held until its length is known.
	 */
	readonly begin: (status: number, headers: Headers, form: 'events' | 'bytes') => void;
	/** Whether this many further bytes can be written; false if more would have to be held than allowed. */
	readonly mayTake: (bytes: number) => boolean;
	/** Writes a chunk. Returns false when the writer should pause until `onDrain`. */
	readonly write: (chunk: Uint8Array | string) => boolean;
	readonly end: (chunk?: Uint8Array | string) => void;
	/**
	 * Sends a refusal as the response, or as an error event in a stream that has begun. For any
	 * other response that has begun the connection is closed, so that the response does not look complete.
	 */
	readonly refuse: (err: RefusalError) => void;
	readonly onDrain: (listener: () => void) => void;
	/** Whether the caller has closed its side of the connection; may be true before the listeners of `onDisconnect` are called. */
	readonly hasDisconnected: () => boolean;
	/** Adds a listener that is called once if the caller disconnects before the end of the response. */
	readonly onDisconnect: (listener: () => void) => void;
	/** The account of the memory that is held for the caller. */
	readonly account: MemoryAccount;
};

/** Closes the connection of a response after a time limit, unless it has closed before. */
const destroyAfter = (res: ServerResponse, limitMs: number): void => {
	const timer = setTimeout(() => {
		res.destroy();
	}, limitMs);
	res.once('close', () => {
		clearTimeout(timer);
	});
};

/** The headers that an interface adds to its responses, and the form of its refusals. */
export type ResponseForm = {
	readonly headers: Headers;
	readonly writeRefusal: (res: ServerResponse, err: RefusalError) => void;
};

const defaultForm = (requestId: string): ResponseForm => ({
	headers: {'x-request-id': requestId},
	writeRefusal(res, err) {
		writeRefusal(res, err, requestId);
	},
});

type ResponseHead = {readonly status: number; readonly headers: Headers; readonly newForm: 'events' | 'bytes'};

/** Whether only chunks can mark the end of a response: it has a body, of unknown length. */
const needsChunks = ({req}: ServerResponse, {status, headers}: ResponseHead): boolean =>
	headers['content-length'] === undefined && !hasNoBody(status) && req.method !== 'HEAD';

/** Creates the response to a caller from Node's response object. */
export const createCallerResponse = (res: ServerResponse, requestId: string, responseForm = defaultForm(requestId), account = noAccount): CallerResponse => {
	let form: 'none' | 'events' | 'bytes' = 'none';
	/** Head of a response that is held until its length is known. */
	let heldHead: ResponseHead | undefined;
	let ended = false;
	/** Chunks that have not been written to the connection yet, in order. */
	let queue: Uint8Array[] = [];
	let queueBytes = 0;
	/** Whether the response ends once the queue has been written. */
	let endsAfterQueue = false;
	let isUnread = false;
	res.once('close', () => {
		ended = true;
		queue = [];
		queueBytes = 0;
		account.set('unread', 0);
	});
	res.once('finish', () => {
		recordUnread();
	});

	/** Records the bytes that are held because the caller has not read them. */
	function recordUnread(): void {
		const isBlocked = queueBytes > 0 || res.writableNeedDrain || (res.writableEnded && !res.writableFinished && res.writableLength > 0);
		if (isBlocked || isUnread) {
			isUnread = isBlocked;
			account.set('unread', isBlocked ? queueBytes + res.writableLength + PAUSED_TARGET_BYTES : 0);
		}
	}

	/** Writes queued chunks until the connection's buffer is full; the rest is written as the caller reads. */
	const flush = (): void => {
		while (queueBytes > 0 && !res.writableNeedDrain && !res.destroyed) {
			const [first = Buffer.alloc(0), ...others] = queue;
			const slice = first.subarray(0, SLICE_BYTES);
			queue = slice.length < first.length ? [first.subarray(SLICE_BYTES), ...others] : others;
			queueBytes -= slice.length;
			res.write(slice);
		}

		if (endsAfterQueue && queueBytes === 0) {
			endsAfterQueue = false;
			res.end();
		}
	};

	const enqueue = (chunk: Uint8Array): void => {
		queue.push(chunk);
		queueBytes += chunk.length;
		flush();
	};

	const hold = (chunk: Uint8Array): void => {
		queue.push(chunk);
		queueBytes += chunk.length;
		account.recordProgress();
		account.set('unread', queueBytes);
	};

	const writeHead = ({status, headers, newForm}: ResponseHead): void => {
		form = newForm;
		res.writeHead(status, {...headers, ...responseForm.headers});
	};

	/** Sends a held response, whose length is now known. */
	const release = (head: ResponseHead): void => {
		heldHead = undefined;
		writeHead({...head, headers: {...head.headers, 'content-length': String(queueBytes)}});
		endsAfterQueue = true;
		flush();
	};

	res.on('drain', () => {
		account.recordProgress();
		flush();
		recordUnread();
	});
	account.onEnd(() => {
		ended = true;
		if (form === 'none') {
			res.destroy();
		} else {
			// Resets the connection, so that the part of the response that was sent does not look complete.
			res.socket?.resetAndDestroy();
		}
	});

	const sendRefusal = (err: RefusalError) => {
		switch (form) {
			case 'none': {
				queue = [];
				queueBytes = 0;
				responseForm.writeRefusal(res, err);
				break;
			}

			case 'events': {
				for (const chunk of queue) {
					res.write(chunk);
				}

				queue = [];
				queueBytes = 0;
				res.end(errorEvent(err, requestId));
				break;
			}

			case 'bytes': {
				res.destroy();
				break;
			}
		}
	};

	return {
		begin(status, headers, newForm) {
			if (ended || form !== 'none') {
				return;
			}

			const head = {status, headers, newForm};
			if (needsChunks(res, head) && !res.useChunkedEncodingByDefault) {
				heldHead = head;
			} else {
				writeHead(head);
			}
		},
		mayTake: bytes => !heldHead || queueBytes + bytes <= MAX_HELD_BYTES,
		write(chunk) {
			if (ended) {
				return true;
			}

			if (heldHead) {
				hold(Buffer.from(chunk));
				return true;
			}

			if (queueBytes === 0 && chunk.length <= SLICE_BYTES) {
				res.write(chunk);
			} else {
				enqueue(Buffer.from(chunk));
			}

			recordUnread();
			return !isUnread;
		},
		end(chunk = '') {
			if (ended) {
				return;
			}

			ended = true;
			if (heldHead) {
				hold(Buffer.from(chunk));
				release(heldHead);
			} else if (queueBytes === 0 && chunk.length <= SLICE_BYTES) {
				res.end(chunk);
			} else {
				endsAfterQueue = true;
				enqueue(Buffer.from(chunk));
			}

			recordUnread();
		},
		refuse(err) {
			if (!ended) {
				ended = true;
				sendRefusal(err);
				destroyAfter(res, REFUSAL_READ_MS);
			}
		},
		onDrain(listener) {
			res.on('drain', () => {
				if (!isUnread) {
					listener();
				}
			});
		},
		hasDisconnected: () => res.destroyed || res.req.socket.readableEnded || res.req.socket.destroyed,
		onDisconnect(listener) {
			if (res.destroyed && !res.writableFinished) {
				listener();
				return;
			}

			res.once('close', () => {
				if (!res.writableFinished) {
					listener();
				}
			});
		},
		account,
	};
};
