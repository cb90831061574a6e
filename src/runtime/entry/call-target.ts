/** One HTTP call to a target, with a hook right before its first byte. */
import {type IncomingHttpHeaders} from 'node:http';
import {type Dispatcher} from 'undici';
import {createForeignHeadScan, type ForeignHeadScan} from '../../core/attempt/foreign-head.js';
import {JackdawwoodError} from '../../core/errors/jackdawwood-error.js';
import {CallDropped, ForeignResponse} from './entry-errors-data.js';
import {type TargetRequest} from './job.js';

/** What happens to a call, in order. Exactly one of `onEnd` and `onError` comes last. */
export type CallListener = {
	/**
	 * Called when a connection is ready, right before the first byte is written. Returns
	 * whether it may be written.
	 */
	readonly onWriting: () => boolean;
	readonly onHeaders: (status: number, headers: IncomingHttpHeaders) => void;
	readonly onData: (chunk: Uint8Array) => void;
	readonly onEnd: () => void;
	readonly onError: (err: Error) => void;
};

export type Call = {
	/** Drops the call; its listener hears nothing more. */
	readonly close: () => void;
	readonly pause: () => void;
	readonly resume: () => void;
};

export type CallTargetOptions = {
	/** Lower-case name of the header that tells whose a response is; without it bodies are not looked into. */
	readonly idHeader?: string;
};

const callDroppedError = () => new JackdawwoodError(CallDropped);

/** Starts a call. Redirects and retries by the HTTP client are off. */
export const callTarget = (pool: Dispatcher, request: TargetRequest, listener: CallListener, {idHeader}: CallTargetOptions = {}): Call => {
	let controller: Dispatcher.DispatchController | undefined;
	let closed = false;
	let starting = false;
	/** Present where the framing does not tell another response from this one's body. */
	let scan: ForeignHeadScan | undefined;
	const close = () => {
		closed = true;
		// While starting, the throw below is enough and keeps the connection.
		if (!starting && controller && !controller.aborted) {
			controller.abort(callDroppedError());
		}
	};

	const failForeignResponse = (): void => {
		closed = true;
		const err = new JackdawwoodError(ForeignResponse);
		controller?.abort(err);
		listener.onError(err);
	};

	const handler: Dispatcher.DispatchHandler = {
		onRequestStart(started) {
			// The HTTP client may offer a request to a second connection; the listener decides each time.
			controller = started;
			starting = true;
			const mayWrite = !closed && listener.onWriting();
			starting = false;
			if (!mayWrite) {
				throw callDroppedError();
			}
		},
		onResponseStart(_, status, headers) {
			if (!closed && status >= 200) {
				scan = idHeader !== undefined && headers['transfer-encoding'] === undefined ? createForeignHeadScan(idHeader) : undefined;
				listener.onHeaders(status, headers);
			}
		},
		onResponseData(_, chunk) {
			if (closed) {
				return;
			}

			if (scan?.onChunk(chunk)) {
				failForeignResponse();
			} else {
				listener.onData(chunk);
			}
		},
		onResponseEnd() {
			if (!closed && scan?.endsInsideHead()) {
				failForeignResponse();
			} else if (!closed) {
				closed = true;
				listener.onEnd();
			}
		},
		onResponseError(_, err) {
			if (!closed) {
				closed = true;
				listener.onError(err);
			}
		},
	};

	// Deferred, so that the listener hears nothing before the caller holds the call.
	queueMicrotask(() => {
		if (closed) {
			return;
		}

		pool.dispatch({
			method: request.method, path: request.path, headers: request.headers, body: request.body ?? null, headersTimeout: 0, bodyTimeout: 0,
		}, handler);
	});

	return {
		close,
		pause: () => controller?.pause(),
		resume: () => controller?.resume(),
	};
};
