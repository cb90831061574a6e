/** Manages the connections to targets, in one bounded pool for each address. */
import {type Socket} from 'node:net';
import {type Dispatcher, type Pool} from 'undici';
import {JackdawwoodError} from '../../core/errors/jackdawwood-error.js';
import {createMeteredPool} from '../http/metered-pool.js';
import {ConnectionReset} from './entry-errors-data.js';

/** Most connections to one target; further calls are queued. The slots of a target keep the number of its connections far below this. */
const MAX_CONNECTIONS = 512;
const CONNECT_TIMEOUT_MS = 1000;
/** Bytes that a connection buffers while its call is paused for a slow caller. One more read of up to 64 KB may add to them. */
const PAUSED_BYTES = 16_384;
/** Milliseconds for which an idle connection is kept: less than the typical five seconds of targets. A target's own `keep-alive` time has precedence. */
const KEEP_ALIVE_MS = 3000;
/** Longest `keep-alive` time of a target that is applied. Idle connections occupy file descriptors of this process and connections of the target. */
const MAX_KEEP_ALIVE_MS = 15_000;

export type TargetPools = {
	/** Returns the present pool of an address; it must not be stored, since it may be closed later. */
	readonly get: (address: string) => Pool;
	/** Returns a dispatcher for one call on a connection of its own, on which no late response to an earlier call can arrive. */
	readonly fresh: (address: string) => Dispatcher;
	/** Closes all connections; calls that still run on them fail. */
	readonly close: () => Promise<void>;
};

/** Milliseconds subtracted from a target's `keep-alive` time for the network latency. */
const KEEP_ALIVE_MARGIN_MS = 600;

/**
 * Changes the code of a connection reset. The HTTP client treats `ECONNRESET` as the end of a
 * response without a length; with another code the reset is an error, as for all other responses.
 */
const markReset = (err: NodeJS.ErrnoException): void => {
	if (err.code === 'ECONNRESET') {
		err.code = 'CONNECTION_RESET';
	}
};

/**
 * Emits an error for a reset that Node reports as an orderly end, as it does when the reset arrives
 * right after the last bytes. The socket then has no remote address, which it still has after a
 * real orderly end.
 */
const emitResetAsError = (socket: Socket): void => {
	const emit = socket.emit.bind(socket) as (event: string | symbol, ...args: unknown[]) => boolean;
	socket.emit = (event: string | symbol, ...args: unknown[]): boolean => {
		if (event === 'end' && socket.remoteAddress === undefined) {
			socket.destroy(new JackdawwoodError(ConnectionReset));
			return true;
		}

		return emit(event, ...args);
	};
};

export type TargetPoolsOptions = {
	/** Returns the most connections to an address. */
	readonly connections?: (address: string) => number;
	readonly connectTimeoutMs?: number;
	/** Called when a connection to an address cannot be opened, or the last open one broke. */
	readonly onUnreachable?: (address: string) => void;
};

const createPool = (address: string, {connections, connectTimeoutMs = CONNECT_TIMEOUT_MS, onUnreachable}: TargetPoolsOptions): Pool => {
	const pool = createMeteredPool(`http://${address}`, {
		connections: connections?.(address) ?? MAX_CONNECTIONS,
		connect: {timeout: connectTimeoutMs, highWaterMark: PAUSED_BYTES},
		onConnect(socket) {
			socket.prependListener('error', markReset);
			emitResetAsError(socket);
		},
		keepAliveTimeout: KEEP_ALIVE_MS,
		keepAliveMaxTimeout: MAX_KEEP_ALIVE_MS,
		keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
	});
	pool.on('connectionError', () => {
		onUnreachable?.(address);
	});
	pool.on('disconnect', (_origin, _targets, err) => {
		if (pool.stats.connected === 0 && err.code === 'UND_ERR_SOCKET') {
			onUnreachable?.(address);
		}
	});
	return pool;
};

/**
 * Creates the pools of targets, each on first use. Whenever a pool is created, idle pools of
 * addresses that are no longer in use are closed.
 */
export const createTargetPools = (isInUse: (address: string) => boolean, options: TargetPoolsOptions = {}): TargetPools => {
	const pools = new Map<string, Pool>();
	const closeUnused = () => {
		for (const [address, pool] of pools) {
			if (pool.stats.size === 0 && !isInUse(address)) {
				pools.delete(address);
				void pool.close();
			}
		}
	};

	return {
		fresh(address) {
			const pool = createPool(address, {...options, connections: () => 1});
			const dispatch: Dispatcher['dispatch'] = (request, handler) => {
				const isReady = pool.dispatch(request, handler);
				// The pool closes once this call has ended.
				void pool.close();
				return isReady;
			};

			return Object.create(pool, {dispatch: {value: dispatch}}) as Dispatcher; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- a pool but for one method
		},
		get(address) {
			const known = pools.get(address);
			if (known) {
				return known;
			}

			closeUnused();
			const pool = createPool(address, options);
			pools.set(address, pool);
			return pool;
		},
		async close() {
			await Promise.all([...pools.values()].map(async pool => pool.destroy()));
		},
	};
};
