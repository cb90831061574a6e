/** Accounts for the memory that requests hold, and ends the requests that `HeldMemory` selects. */
import {type Clock} from '../../core/clock.js';
import {HeldMemory} from '../../core/memory/held-memory.js';
import {type HeldPart, type MemoryBounds, type MemoryMessage} from '../../core/memory/types.js';
import {type Log} from '../observe/log.js';
import {type Metrics} from '../observe/metrics.js';

/** Milliseconds between checks under memory pressure; a response whose caller has stopped reading is ended at most this long after its time limit of one second. */
const CHECK_INTERVAL_MS = 250;
/** Least milliseconds between log lines about memory pressure. */
const LOG_INTERVAL_MS = 1000;

/** The account of the memory that one request holds. */
export type MemoryAccount = {
	readonly set: (part: HeldPart, bytes: number) => void;
	/** Records that the caller has read data. */
	readonly recordProgress: () => void;
	/** Records that bytes of the caller's body were read. */
	readonly recordRead: (bytes: number) => void;
	/** Whether memory is short. Data that can be passed on at once must then not be collected. */
	readonly isUnderPressure: () => boolean;
	/** Whether the request may hold a body of `bodyBytes`, of which `moreBytes` have not been received yet. */
	readonly mayHold: (bodyBytes: number, moreBytes?: number) => boolean;
	/** Sets the listener that is called once when the request is ended to free memory. */
	readonly onEnd: (listener: () => void) => void;
	readonly close: () => void;
};

export type MemoryAccounts = {
	readonly open: (requestId: string) => MemoryAccount;
	/** Returns the bytes held by all requests, by purpose. */
	readonly totals: () => Readonly<Record<HeldPart, number>>;
	readonly stop: () => void;
};

/** An account that records nothing, for interfaces without memory accounting. */
export const noAccount: MemoryAccount = {
	set: () => undefined,
	recordProgress: () => undefined,
	recordRead: () => undefined,
	isUnderPressure: () => false,
	mayHold: () => true,
	onEnd: () => undefined,
	close: () => undefined,
};

export type MemoryAccountsOptions = {
	readonly bounds: MemoryBounds;
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
	/** Called with the number of bytes of each read from a caller. */
	readonly onRead: (bytes: number) => void;
};

type OpenAccount = {readonly requestId: string; onEnd: () => void};

export const createMemoryAccounts = ({bounds, clock, log, metrics, onRead}: MemoryAccountsOptions): MemoryAccounts => {
	const memory = new HeldMemory(bounds);
	const accounts = new Map<number, OpenAccount>();
	let opened = 0;
	let lastLogMs = -Infinity;
	let timer: NodeJS.Timeout | undefined;

	const handle = (message: MemoryMessage): void => {
		for (const {id, reason, heldBytes, idleMs, totalBytes} of memory.handle(message, clock.nowMs())) {
			const account = accounts.get(id);
			metrics.memoryEnded.inc({reason});
			log.warn('response ended to free memory', {
				request_id: account?.requestId,
				reason,
				held_bytes: heldBytes,
				idle_ms: Math.round(idleMs),
				total_bytes: totalBytes,
				bound_bytes: reason === 'bound' ? bounds.shedBytes : bounds.refuseBytes,
			});
			account?.onEnd();
		}
	};

	const logPressure = (): void => {
		const nowMs = clock.nowMs();
		if (memory.isUnderPressure && nowMs - lastLogMs >= LOG_INTERVAL_MS) {
			lastLogMs = nowMs;
			const {body, collected, unread} = memory.totals;
			log.warn('memory is short', {
				unread_bytes: unread, body_bytes: body, collected_bytes: collected, bound_bytes: bounds.refuseBytes, requests: accounts.size,
			});
		}
	};

	const check = (): void => {
		timer = undefined;
		handle({kind: 'tick'});
		logPressure();
		arm();
	};

	/** Starts the timer of the next check if memory is short. */
	function arm(): void {
		if (timer === undefined && memory.isUnderPressure) {
			timer = setTimeout(check, CHECK_INTERVAL_MS);
		}
	}

	return {
		open(requestId) {
			opened++;
			const id = opened;
			const account: OpenAccount = {requestId, onEnd: () => undefined};
			accounts.set(id, account);
			return {
				set(part, bytes) {
					if (accounts.has(id)) {
						handle({
							kind: 'held', id, part, bytes,
						});
						arm();
					}
				},
				recordProgress() {
					handle({kind: 'progress', id});
				},
				recordRead(bytes) {
					handle({kind: 'progress', id});
					onRead(bytes);
				},
				isUnderPressure: () => memory.isUnderPressure,
				mayHold: (bodyBytes, moreBytes) => memory.mayHold(bodyBytes, moreBytes),
				onEnd(listener) {
					account.onEnd = listener;
				},
				close() {
					accounts.delete(id);
					handle({kind: 'gone', id});
				},
			};
		},
		totals: () => memory.totals,
		stop() {
			clearTimeout(timer);
		},
	};
};
