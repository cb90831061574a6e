/** Keeps the accounts of what requests hold, and ends those that the decision names. */
import {type Clock} from '../../core/clock.js';
import {HeldMemory} from '../../core/memory/held-memory.js';
import {type HeldPart, type MemoryBounds, type MemoryMessage} from '../../core/memory/types.js';
import {type Log} from '../observe/log.js';
import {type Metrics} from '../observe/metrics.js';

/** Milliseconds between looks while something is held; a stalled caller is ended within a second and this. */
const CHECK_INTERVAL_MS = 250;
/** Milliseconds between log lines while requests are refused. */
const LOG_INTERVAL_MS = 1000;

/** What one request holds. */
export type MemoryAccount = {
	readonly set: (part: HeldPart, bytes: number) => void;
	/** The caller has read something. */
	readonly recordProgress: () => void;
	/** The caller has sent something. */
	readonly recordRead: (bytes: number) => void;
	/** Whether nothing may be collected that can be passed on. */
	readonly isUnderPressure: () => boolean;
	/** Whether the request may go on with a body of so many bytes, of which `moreBytes` are still to come. */
	readonly mayHold: (bodyBytes: number, moreBytes?: number) => boolean;
	/** Called once when the request is ended to free what it holds. */
	readonly onEnd: (listener: () => void) => void;
	readonly close: () => void;
};

export type MemoryAccounts = {
	readonly open: (requestId: string) => MemoryAccount;
	/** Bytes held by what they are held for. */
	readonly totals: () => Readonly<Record<HeldPart, number>>;
	readonly stop: () => void;
};

/** For interfaces whose memory is not accounted for. */
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
	/** Told of the bytes that were read from callers. */
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

	/** No wake-ups while little is held. */
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
