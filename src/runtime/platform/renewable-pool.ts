/**
 * Connections that are all replaced after a call that did not end in time. Connections can stop
 * responding without an error, often several at once, and each would cost the call that uses it
 * next another timeout.
 */
import {type Pool} from 'undici';
import {createMeteredPool, type MeteredPoolOptions} from '../http/metered-pool.js';

export type RenewablePool = {
	/** Makes a call on the present connections. If `signal` is aborted before the call has ended, later calls use new connections; calls under way on the old ones may still end. */
	readonly use: <Value>(signal: AbortSignal, call: (pool: Pool) => Promise<Value>) => Promise<Value>;
	/** Ends all calls and closes all connections. */
	readonly destroy: () => Promise<void>;
};

/** Creates a pool; it connects on first use. */
export const createRenewablePool = (origin: string, options: MeteredPoolOptions): RenewablePool => {
	let pool = createMeteredPool(origin, options);
	/** Replaced pools whose calls are still under way. */
	const closing = new Set<Pool>();

	const renew = (used: Pool): void => {
		if (used !== pool) {
			return;
		}

		pool = createMeteredPool(origin, options);
		closing.add(used);
		const remove = (): void => {
			closing.delete(used);
		};

		used.close().then(remove, remove);
	};

	return {
		async use(signal, call) {
			const used = pool;
			const onAbort = (): void => {
				renew(used);
			};

			signal.addEventListener('abort', onAbort);
			try {
				return await call(used);
			} finally {
				signal.removeEventListener('abort', onAbort);
			}
		},
		async destroy() {
			await Promise.all([pool, ...closing].map(async open => open.destroy()));
		},
	};
};
