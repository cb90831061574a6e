/** A pool of HTTP connections, each of which is closed when its peer sends too many bytes that belong to no body. */
import {type Socket} from 'node:net';
import {
	buildConnector, Client, Pool, type Dispatcher,
} from 'undici';
import {createResponseOverhead, type ResponseOverhead} from '../../core/attempt/response-overhead.js';
import {JackdawwoodError} from '../../core/errors/jackdawwood-error.js';
import {ResponseOverheadTooLarge} from './http-errors-data.js';
import {hasNoBody} from './no-body.js';

/** Code of the client's error for a body whose length is not the declared one. */
const BODY_LENGTH_MISMATCH = 'UND_ERR_RES_CONTENT_LENGTH_MISMATCH';

export type MeteredPoolOptions = Omit<Pool.Options, 'connect' | 'factory'> & {
	/** Options of new connections. The HTTP client passes those of `net.connect` on. */
	readonly connect?: buildConnector.BuildOptions & {readonly highWaterMark?: number};
	/** Called with each new connection. */
	readonly onConnect?: (socket: Socket) => void;
};

const meterReads = (socket: Socket, overhead: ResponseOverhead): void => {
	overhead.begin(0);
	socket.on('readable', () => {
		if (!socket.destroyed && overhead.isTooLarge(socket.bytesRead)) {
			socket.destroy(new JackdawwoodError(ResponseOverheadTooLarge, {bytes: socket.bytesRead}));
		}
	});
};

/* eslint-disable @typescript-eslint/no-deprecated -- a pool hands handlers on to its clients in this form */
/**
 * Returns a handler that also reports the body and the end of the response. A response whose
 * status has no body may declare a length, which the client takes for a body that was cut.
 */
const observeBody = (handler: Dispatcher.DispatchHandler, {onBody, onEnd}: {readonly onBody: (bytes: number) => void; readonly onEnd: () => void}): Dispatcher.DispatchHandler => {
	let latestStatus = 0;
	const complete: Dispatcher.DispatchHandler['onComplete'] = trailers => {
		onEnd();
		handler.onComplete?.(trailers);
	};

	return {
		onConnect(...args) {
			handler.onConnect?.(...args);
		},
		onUpgrade(...args) {
			handler.onUpgrade?.(...args);
		},
		onResponseStarted() {
			handler.onResponseStarted?.();
		},
		onHeaders(status, ...args) {
			latestStatus = status;
			return handler.onHeaders?.(status, ...args) ?? true;
		},
		onData(chunk) {
			onBody(chunk.length);
			return handler.onData?.(chunk) ?? true;
		},
		onComplete: complete,
		onError(err) {
			if (hasNoBody(latestStatus) && (err as NodeJS.ErrnoException).code === BODY_LENGTH_MISMATCH) {
				complete([]);
			} else {
				handler.onError?.(err);
			}
		},
	};
};
/* eslint-enable @typescript-eslint/no-deprecated */

/** One connection of a pool, opened again when needed. */
class MeteredClient extends Client {
	readonly #overhead: ResponseOverhead;
	readonly #readBytes: () => number;

	constructor(origin: URL, {connect, onConnect, ...options}: MeteredPoolOptions) {
		const overhead = createResponseOverhead();
		let current: Socket | undefined;
		const connector = buildConnector(connect ?? {});
		super(origin, {
			...options,
			connect(target, callback) {
				connector(target, (...result) => {
					const [, socket] = result;
					if (socket) {
						current = socket;
						meterReads(socket, overhead);
						onConnect?.(socket);
					}

					callback(...result);
				});
			},
		});
		this.#overhead = overhead;
		this.#readBytes = () => current?.bytesRead ?? 0;
	}

	override dispatch(options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
		return super.dispatch(options, observeBody(handler, {
			onBody: bytes => {
				this.#overhead.recordBody(bytes);
			},
			onEnd: () => {
				this.#overhead.begin(this.#readBytes());
			},
		}));
	}
}

/** Creates a pool; it connects on first use. */
export const createMeteredPool = (origin: string, {connect, onConnect, ...options}: MeteredPoolOptions): Pool => new Pool(origin, {
	...options,
	// A client of the pool pipelines no requests, so the body that it finds belongs to the response that its connection carries.
	pipelining: 1,
	factory: url => new MeteredClient(url, {
		...options, pipelining: 1, ...(connect && {connect}), ...(onConnect && {onConnect}),
	}),
});
