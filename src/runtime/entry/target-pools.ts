/** Connections to targets, one bounded pool for each address. */
import {type Socket} from 'node:net';
import {buildConnector, Pool, type Dispatcher} from 'undici';
import {JackdawwoodError} from '../../core/errors/jackdawwood-error.js';
import {ConnectionReset} from './entry-errors-data.js';

/** Connections to one target, beyond which calls wait. Slots keep the use far below. */
const MAX_CONNECTIONS = 512;
const CONNECT_TIMEOUT_MS = 1000;
/** Bytes that a connection takes in while its call is paused, and up to one read of 64 KB more; a paused call stands for a caller that does not read. */
const PAUSED_BYTES = 16_384;
/** Idle connections are closed before a target's usual five seconds are over, or before the time that it names itself. */
const KEEP_ALIVE_MS = 3000;
/** The longest named time that is believed: idle connections hold descriptors here and places at the target. */
const MAX_KEEP_ALIVE_MS = 15_000;

export type TargetPools = {
	/** Returns the pool of an address as it is now; it is not to be kept. */
	readonly get: (address: string) => Pool;
	/** One call on a connection of its own, on which no late response to an earlier one can come. */
	readonly fresh: (address: string) => Dispatcher;
	/** Ends all connections; whatever still runs on them is given up. */
	readonly close: () => Promise<void>;
};

/** Taken off the idle time that a target names, for the way there. */
const KEEP_ALIVE_MARGIN_MS = 600;

/**
 * The HTTP client takes a reset for the end of an answer that has no length. Under a
 * code of its own the reset is an error, as it is for all other answers.
 */
const markReset = (err: NodeJS.ErrnoException): void => {
	if (err.code === 'ECONNRESET') {
		err.code = 'CONNECTION_RESET';
	}
};

/**
 * Node reports an orderly end when a reset waits behind the last bytes. Only an orderly
 * end leaves the socket with a peer, so one without becomes the error that it is.
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

const createConnector = (timeout: number): buildConnector.connector => {
	// Passed on to `net.connect`, which the types of the HTTP client don't say.
	const connectorOptions: buildConnector.BuildOptions & {readonly highWaterMark: number} = {timeout, highWaterMark: PAUSED_BYTES};
	const connect = buildConnector(connectorOptions);
	return (options, callback) => {
		connect(options, (...result) => {
			const [, socket] = result;
			if (socket) {
				socket.prependListener('error', markReset);
				emitResetAsError(socket);
			}

			callback(...result);
		});
	};
};

export type TargetPoolsOptions = {
	/** Connections to one address at most. */
	readonly connections?: (address: string) => number;
	readonly connectTimeoutMs?: number;
	/** Called when a connection cannot be opened, or the last one broke. */
	readonly onUnreachable?: (address: string) => void;
};

const createPool = (address: string, {connections, connectTimeoutMs = CONNECT_TIMEOUT_MS, onUnreachable}: TargetPoolsOptions): Pool => {
	const pool = new Pool(`http://${address}`, {
		connections: connections?.(address) ?? MAX_CONNECTIONS,
		pipelining: 1,
		connect: createConnector(connectTimeoutMs),
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
 * Creates pools on first use. Each time an address is new, the idle pools of addresses
 * that are no longer in use are closed.
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
				// Closes once the call has ended.
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
