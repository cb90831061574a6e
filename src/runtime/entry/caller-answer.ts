/** The answer to one caller: written once, whole or with an explicit error. */
import {type ServerResponse} from 'node:http';
import {type RefusalError} from '../../core/errors/refusal-error.js';
import {type Headers} from './job.js';
import {errorEvent, writeRefusal} from './refuse.js';

/** Milliseconds that a slow caller gets to read a refusal before its connection is cut. */
const REFUSAL_READ_MS = 5000;

/**
 * Writes after the end, or after the caller has gone, have no effect, so that a late
 * answer cannot reach anybody.
 */
export type CallerAnswer = {
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
	readonly hasLeft: () => boolean;
	/** Called once when the caller goes before the end of the answer. */
	readonly onLeft: (listener: () => void) => void;
};

const endWithin = (res: ServerResponse, limitMs: number): void => {
	const timer = setTimeout(() => {
		res.destroy();
	}, limitMs);
	res.once('close', () => {
		clearTimeout(timer);
	});
};

/** What an interface adds to its answers, and how it tells a refusal. */
export type AnswerForm = {
	readonly headers: Headers;
	readonly writeRefusal: (res: ServerResponse, err: RefusalError) => void;
};

const ownForm = (requestId: string): AnswerForm => ({
	headers: {'x-request-id': requestId},
	writeRefusal(res, err) {
		writeRefusal(res, err, requestId);
	},
});

/** Wraps a response. */
export const createCallerAnswer = (res: ServerResponse, requestId: string, answerForm = ownForm(requestId)): CallerAnswer => {
	let form: 'none' | 'events' | 'bytes' | 'until-close' = 'none';
	let ended = false;
	res.once('close', () => {
		ended = true;
	});

	const tellRefusal = (err: RefusalError) => {
		switch (form) {
			case 'none': {
				answerForm.writeRefusal(res, err);
				break;
			}

			case 'events': {
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

				res.writeHead(status, {...headers, ...answerForm.headers});
			}
		},
		write: chunk => ended || res.write(chunk),
		end(chunk) {
			if (!ended) {
				ended = true;
				res.end(chunk);
			}
		},
		refuse(err) {
			if (!ended) {
				ended = true;
				tellRefusal(err);
				endWithin(res, REFUSAL_READ_MS);
			}
		},
		onDrain(listener) {
			res.on('drain', listener);
		},
		hasLeft: () => res.destroyed || res.req.socket.readableEnded || res.req.socket.destroyed,
		onLeft(listener) {
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
	};
};
