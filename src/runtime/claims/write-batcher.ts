/**
 * Batches conditional writes of single rows into transactions. A transaction takes effect
 * as a whole or not at all, so when some of its rows conflict, the others are sent again in
 * another transaction.
 */
import {randomUUID} from 'node:crypto';
import {recordFailure, closedCircuit, openCircuitRemainingMs} from '../../core/attempt/circuit-breaker.js';
import {type Clock} from '../../core/clock.js';
import {
	type PlatformClient, type RowConflict, type RowWrite, type TransactionResult,
} from '../platform/types.js';

/** Milliseconds for which a write is queued, so that others can join its transaction. */
const BATCH_DELAY_MS = 5;
/** Least milliseconds from a transaction to the next scheduled one; bounds the load of one VM on the platform. */
const MIN_GAP_MS = 40;
/** Most milliseconds for which a deferrable write is queued when no other write causes a transaction. */
const DEFERRABLE_DELAY_MS = 250;
/** Most rows in one transaction. */
const MAX_ROWS = 50;
/** Most transactions in flight at once. */
const MAX_IN_FLIGHT = 4;
/** Transactions with an unknown outcome after which a write is reported as `lost`. */
const MAX_UNKNOWN_RESULTS = 2;

/** Outcome of one write. `lost`: it may have taken effect, or may still do so. */
export type WriteResult =
	| {readonly kind: 'written'; readonly revision: number}
	| {readonly kind: 'conflict'; readonly conflict: RowConflict}
	| {readonly kind: 'lost'}
	| {readonly kind: 'unavailable'; readonly retryAfterMs: number | undefined};

type QueuedWrite = {
	readonly write: RowWrite;
	readonly resolve: (result: WriteResult) => void;
	unknownResults: number;
};

export type WriteBatcher = {
	/** Queues a write. A deferrable one is sent with the next transaction, or by itself after a longer delay. */
	readonly write: (write: RowWrite, isDeferrable?: boolean) => Promise<WriteResult>;
	/** Returns the numbers of transactions sent and of rows in them, since the start. */
	readonly stats: () => {readonly transactions: number; readonly rows: number};
	/** Resolves when every write has its result. */
	readonly idle: () => Promise<void>;
};

/** Creates a batcher for one table. */
export const createWriteBatcher = (platform: Pick<PlatformClient, 'transact'>, table: string, clock: Clock): WriteBatcher => new Batcher(platform, table, clock);

class Batcher implements WriteBatcher {
	#queue: QueuedWrite[] = [];
	#timer: NodeJS.Timeout | undefined;
	#dueMs = Infinity;
	#lastSentMs = -Infinity;
	#inFlight = 0;
	#circuitBreaker = closedCircuit;
	#transactions = 0;
	#rows = 0;
	readonly #idleListeners: Array<() => void> = [];

	readonly #platform: Pick<PlatformClient, 'transact'>;
	readonly #table: string;

	readonly #clock: Clock;

	constructor(platform: Pick<PlatformClient, 'transact'>, table: string, clock: Clock) {
		this.#platform = platform;
		this.#table = table;
		this.#clock = clock;
	}

	async write(write: RowWrite, isDeferrable = false): Promise<WriteResult> {
		const downMs = openCircuitRemainingMs(this.#circuitBreaker, this.#clock.nowMs());
		if (downMs > 0) {
			return {kind: 'unavailable', retryAfterMs: downMs};
		}

		return new Promise(resolve => {
			this.#queue.push({write, resolve, unknownResults: 0});
			this.#schedule(isDeferrable ? DEFERRABLE_DELAY_MS : BATCH_DELAY_MS);
		});
	}

	stats(): {readonly transactions: number; readonly rows: number} {
		return {transactions: this.#transactions, rows: this.#rows};
	}

	async idle(): Promise<void> {
		if (this.#queue.length === 0 && this.#inFlight === 0) {
			return;
		}

		return new Promise(resolve => {
			this.#idleListeners.push(resolve);
		});
	}

	/** Schedules a transaction after `waitMs`, or later where the gap between transactions requires it. Does nothing if a transaction is already scheduled for an earlier time. */
	#schedule(waitMs: number): void {
		const nowMs = this.#clock.nowMs();
		const dueMs = Math.max(nowMs + waitMs, this.#lastSentMs + MIN_GAP_MS);
		if (dueMs >= this.#dueMs) {
			return;
		}

		clearTimeout(this.#timer);
		this.#dueMs = dueMs;
		this.#timer = setTimeout(() => {
			this.#dueMs = Infinity;
			this.#flush();
		}, dueMs - nowMs);
	}

	#flush(): void {
		while (this.#queue.length > 0 && this.#inFlight < MAX_IN_FLIGHT) {
			void this.#send(this.#takeBatch());
		}
	}

	/** Removes the writes of one transaction from the queue. Its rows must differ, so a second write to the same row stays queued. */
	#takeBatch(): readonly QueuedWrite[] {
		const batch = new Map<string, QueuedWrite>();
		const remaining: QueuedWrite[] = [];
		for (const queuedWrite of this.#queue) {
			if (batch.size < MAX_ROWS && !batch.has(queuedWrite.write.key)) {
				batch.set(queuedWrite.write.key, queuedWrite);
			} else {
				remaining.push(queuedWrite);
			}
		}

		this.#queue = remaining;
		return [...batch.values()];
	}

	async #send(batch: readonly QueuedWrite[]): Promise<void> {
		this.#inFlight++;
		this.#lastSentMs = this.#clock.nowMs();
		this.#transactions++;
		this.#rows += batch.length;
		const result = await this.#platform.transact(this.#table, {operationId: randomUUID(), operations: batch.map(({write}) => write)});
		this.#inFlight--;
		this.#circuitBreaker = result.kind === 'unknown' || result.kind === 'unavailable' ? recordFailure(this.#circuitBreaker, this.#clock.nowMs()) : closedCircuit;
		this.#settle(batch, result);
		if (this.#queue.length > 0) {
			this.#schedule(BATCH_DELAY_MS);
		} else if (this.#inFlight === 0) {
			this.#notifyIdle();
		}
	}

	#notifyIdle(): void {
		for (const listener of this.#idleListeners.splice(0)) {
			listener();
		}
	}

	#settle(batch: readonly QueuedWrite[], result: TransactionResult): void {
		switch (result.kind) {
			case 'ok': {
				const revisions = new Map(result.rows.map(({key, revision}) => [key, revision]));
				for (const {write, resolve} of batch) {
					resolve({kind: 'written', revision: revisions.get(write.key) ?? 0});
				}

				break;
			}

			case 'conflict': {
				this.#settleConflicts(batch, result.conflicts);
				break;
			}

			case 'unknown': {
				this.#retryUnknown(batch);
				break;
			}

			case 'unavailable':
			case 'rate_limited': {
				for (const {resolve, unknownResults} of batch) {
					resolve(unknownResults > 0 ? {kind: 'lost'} : {kind: 'unavailable', retryAfterMs: result.kind === 'rate_limited' ? result.retryAfterMs : undefined});
				}
			}
		}
	}

	#settleConflicts(batch: readonly QueuedWrite[], conflicts: readonly RowConflict[]): void {
		const byKey = new Map(conflicts.map(conflict => [conflict.key, conflict]));
		for (const queuedWrite of batch) {
			const conflict = byKey.get(queuedWrite.write.key);
			if (conflict) {
				queuedWrite.resolve({kind: 'conflict', conflict});
			} else {
				this.#queue.unshift(queuedWrite);
			}
		}
	}

	/** Queues writes with an unknown outcome again. Writes are conditional, so none takes effect twice: if the first attempt wrote the row, the second one conflicts with that row. */
	#retryUnknown(batch: readonly QueuedWrite[]): void {
		for (const queuedWrite of batch) {
			queuedWrite.unknownResults++;
			if (queuedWrite.unknownResults < MAX_UNKNOWN_RESULTS) {
				this.#queue.push(queuedWrite);
			} else {
				queuedWrite.resolve({kind: 'lost'});
			}
		}
	}
}
