/** The answer to one caller: written once, whole or with an explicit error. */
import {Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {type RefusalError} from '../../core/errors/refusal-error.js';
import {noAccount, type MemoryAccount} from '../memory/memory-accounts.js';
import {type Headers} from './job.js';
import {errorEvent, writeRefusal} from './refuse.js';

/** Milliseconds that a slow caller gets to read a refusal before its connection is cut. */
const REFUSAL_READ_MS = 5000;
/** Bytes given to the connection at once, as many as one read brings, so that what a slow caller reads of a long answer shows. */
const SLICE_BYTES = 65_536;
/** Bytes that the connection to a target holds while it is paused: what was read before, and one more read. */
const PAUSED_TARGET_BYTES = 81_920;

/**
 * Writes after the end, or after the caller has gone, have no effect, so that a late
 * answer cannot reach anybody.
 */
export type CallerResponse = {
	/**
	 * Writes status and headers. `until-close` is for an answer whose end only the end of
	 * its connection tells: it is passed on in the same way, so that it does not look more
	 * certain than it is.
	 */
	readonly begin: (status: number, headers: Headers, form: 'events' | 'bytes' | 'until-close') => void;
	/** Writes a part; false asks to pause until `onDrain`. */
	readonly write: (chunk: Uint8Array | string) => boolean;
	readonly end: (chunk?: Uint8Array | string) => void;
	/**
	 * Tells a refusal: as the answer, or as an error event in a stream that has begun. Any
	 * other answer that has begun is cut off, so that it cannot look whole.
	 */
	readonly refuse: (err: RefusalError) => void;
	readonly onDrain: (listener: () => void) => void;
	/** Whether the caller has ended its side of the connection, also before its going is told. */
	readonly hasDisconnected: () => boolean;
	/** Called once when the caller goes before the end of the answer. */
	readonly onDisconnect: (listener: () => void) => void;
	/** What is held for the caller. */
	readonly account: MemoryAccount;
};

const destroyAfter = (res: ServerResponse, limitMs: number): void => {
	const timer = setTimeout(() => {
		res.destroy();
	}, limitMs);
	res.once('close', () => {
		clearTimeout(timer);
	});
};

/** What an interface adds to its answers, and how it tells a refusal. */
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

/** Wraps a response. */
export const createCallerResponse = (res: ServerResponse, requestId: string, responseForm = defaultForm(requestId), account = noAccount): CallerResponse => {
	let form: 'none' | 'events' | 'bytes' | 'until-close' = 'none';
	let ended = false;
	/** What the connection has not taken yet, in order. */
	let queue: Uint8Array[] = [];
	let queueBytes = 0;
	/** Whether the answer ends after the queue. */
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

	function recordUnread(): void {
		const isBlocked = queueBytes > 0 || res.writableNeedDrain || (res.writableEnded && !res.writableFinished && res.writableLength > 0);
		if (isBlocked || isUnread) {
			isUnread = isBlocked;
			account.set('unread', isBlocked ? queueBytes + res.writableLength + PAUSED_TARGET_BYTES : 0);
		}
	}

	/** Gives the connection what it takes; the rest follows as the caller reads. */
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
			// A reset, so that nothing that was sent looks whole.
			res.socket?.resetAndDestroy();
		}
	});

	const sendRefusal = (err: RefusalError) => {
		switch (form) {
			case 'none': {
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

			case 'until-close': {
				res.socket?.resetAndDestroy();
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
			if (!ended && form === 'none') {
				form = newForm;
				if (form === 'until-close') {
					res.removeHeader('content-length');
					res.removeHeader('transfer-encoding');
					res.setHeader('connection', 'close');
				}

				res.writeHead(status, {...headers, ...responseForm.headers});
			}
		},
		write(chunk) {
			if (ended) {
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
			if (queueBytes === 0 && chunk.length <= SLICE_BYTES) {
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
