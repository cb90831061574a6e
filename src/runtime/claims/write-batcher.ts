/**
 * Gathers conditional writes of single rows into transactions. A transaction is all or
 * nothing, so when rows conflict, the others are written again without them.
 */
import {randomUUID} from 'node:crypto';
import {recordFailure, closedCircuit, openCircuitRemainingMs} from '../../core/attempt/circuit-breaker.js';
import {type Clock} from '../../core/clock.js';
import {
	type PlatformClient, type RowConflict, type RowWrite, type TransactionResult,
} from '../platform/types.js';

/** Milliseconds for which writes are gathered after a quiet time. */
const BATCH_DELAY_MS = 5;
/** Milliseconds between transactions: bounds what one VM asks of the platform. */
const MIN_GAP_MS = 40;
/** Milliseconds that a patient write waits for others to go with. */
const DEFERRABLE_DELAY_MS = 250;
/** Rows in one transaction. */
const MAX_ROWS = 50;
/** Transactions that may be under way at once. */
const MAX_IN_FLIGHT = 4;
/** Times that one write may have to go without a definite result. */
const MAX_UNKNOWN_RESULTS = 2;

/** What became of one write. `lost`: it may have taken effect, or may still do so. */
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
	/** A patient write goes with the next others, or after a while alone. */
	readonly write: (write: RowWrite, isDeferrable?: boolean) => Promise<WriteResult>;
	/** Transactions sent and rows in them, since the start. */
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

	/** Sends within `waitMs`, but not sooner than the gap between transactions allows. */
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

	/** Rows of one transaction must differ; a repeated one waits for the next. */
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

	/** A repeated conditional write either takes effect or finds the first one's row. */
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
