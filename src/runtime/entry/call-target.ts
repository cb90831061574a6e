/** Makes one HTTP call to a target, with a hook right before the first byte is written. */
import {type IncomingHttpHeaders} from 'node:http';
import {type Dispatcher} from 'undici';
import {createForeignHeadScan, type ForeignHeadScan} from '../../core/attempt/foreign-head.js';
import {JackdawwoodError} from '../../core/errors/jackdawwood-error.js';
import {type InputAge} from '../observe/input-age.js';
import {CallDropped, ForeignResponse} from './entry-errors-data.js';
import {type TargetRequest} from './job.js';

/** Milliseconds since the last read of all connections after which they are read again before a request is written. A caller's disconnect counts half a second after it has arrived. */
const MAX_INPUT_AGE_MS = 200;
/** Most times that a request waits for such a read, so that it is sent at all by a process whose turns are all long. */
const MAX_READ_WAITS = 2;

/** Receives the events of a call in order. Exactly one of `onEnd` and `onError` is called last, unless the call is closed. */
export type CallListener = {
	/**
	 * Called when a connection is ready, right before the first byte of the request is written.
	 * Returns whether it may be written.
	 */
	readonly onWriting: () => boolean;
	readonly onHeaders: (status: number, headers: IncomingHttpHeaders) => void;
	readonly onData: (chunk: Uint8Array) => void;
	readonly onEnd: () => void;
	readonly onError: (err: Error) => void;
};

export type Call = {
	/** Aborts the call. Its listener is not called any more. */
	readonly close: () => void;
	readonly pause: () => void;
	readonly resume: () => void;
};

export type CallTargetOptions = {
	/** Lower-case name of the header with the id of the request that a response belongs to. If absent, bodies are not scanned for other responses. */
	readonly idHeader?: string;
	/** If absent, requests are written without a further read of the connections. */
	readonly inputAge?: InputAge;
};

const callDroppedError = () => new JackdawwoodError(CallDropped);

/**
 * Starts a call. Redirects and retries by the HTTP client are off.
 *
 * @param pool - Returns the present pool of connections to the target.
 */
export const callTarget = (pool: () => Dispatcher, request: TargetRequest, listener: CallListener, {idHeader, inputAge}: CallTargetOptions = {}): Call => {
	let controller: Dispatcher.DispatchController | undefined;
	let closed = false;
	let starting = false;
	/** Scans the body for another response. Undefined without `idHeader`, and for a chunked body, whose framing rules this out. */
	let scan: ForeignHeadScan | undefined;
	let readWaits = 0;
	/** Whether the request waits for all connections to be read, and is then dispatched again. */
	let isWaitingForRead = false;
	const mayMissInput = (): boolean => inputAge !== undefined && readWaits < MAX_READ_WAITS && inputAge.ageMs() > MAX_INPUT_AGE_MS;

	const dispatchAfterRead = async (): Promise<void> => {
		readWaits++;
		await inputAge?.readAgain();
		isWaitingForRead = false;
		dispatch();
	};

	const close = () => {
		closed = true;
		// While the request is starting, the exception thrown in `onRequestStart` ends it and keeps the connection open.
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
			// The HTTP client may start a request again on a second connection, so the listener has to permit each start.
			if (!closed && mayMissInput()) {
				isWaitingForRead = true;
				throw callDroppedError();
			}

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
			if (isWaitingForRead) {
				void dispatchAfterRead();
			} else if (!closed) {
				closed = true;
				listener.onError(err);
			}
		},
	};

	function dispatch(): void {
		if (!closed) {
			pool().dispatch({
				method: request.method, path: request.path, headers: request.headers, body: request.body ?? null, headersTimeout: 0, bodyTimeout: 0,
			}, handler);
		}
	}

	// Deferred, so that no event reaches the listener before this function has returned the call.
	queueMicrotask(dispatch);

	return {
		close,
		pause: () => controller?.pause(),
		resume: () => controller?.resume(),
	};
};
