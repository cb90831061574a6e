/** The platform's table service, object store and VM list, as typed calls. */
import type * as z from 'zod';

/** A JSON value. */
export type Json = z.core.util.JSONType;

export type PlatformRow = {
	readonly key: string;
	readonly value: Json;
	/** Increases with each write to the table. */
	readonly revision: number;
};

/** A write of one row in a transaction. */
export type RowWrite = {
	readonly key: string;
	/** The revision that the row must have, or `absent` if it must not exist; unset if either is accepted. */
	readonly expectRevision?: number | 'absent';
	/** The new value; `undefined` deletes the row. */
	readonly value: Json | undefined;
};

export type Transaction = {
	/** Identifies the write when its rows are read back. */
	readonly operationId: string;
	readonly operations: readonly RowWrite[];
};

/** The call failed, and no row or object was read or written. */
export type Unavailable = {
	readonly kind: 'unavailable';
	readonly reason: 'outage' | 'connection' | 'timeout' | 'bad_answer';
};

export type RateLimited = {
	readonly kind: 'rate_limited';
	/** Milliseconds after which to retry, from the `Retry-After` header; undefined without one. */
	readonly retryAfterMs: number | undefined;
};

export type Found<Value> = {readonly kind: 'found'; readonly value: Value};
export type Absent = {readonly kind: 'absent'};

/** The result of a read. */
export type ReadResult<Value> = Found<Value> | Absent | Unavailable | RateLimited;

export type RowConflict = {
	readonly key: string;
	readonly value: Json | undefined;
	/** `undefined` when the row is absent. */
	readonly revision: number | undefined;
};

/** The result of a transaction. */
export type TransactionResult =
	| {readonly kind: 'ok'; readonly rows: ReadonlyArray<{readonly key: string; readonly revision: number}>}
	| {readonly kind: 'conflict'; readonly conflicts: readonly RowConflict[]}
	/** No usable response arrived. The write may have taken effect, or may take effect later. */
	| {readonly kind: 'unknown'}
	| Unavailable
	| RateLimited;

export type ListedVm = {
	readonly id: string;
	readonly dataCentre: string;
	/** `IP:PORT` of the interface for other VMs. */
	readonly control: string;
	/** `IP:PORT` of the interface for operators. */
	readonly admin: string;
	readonly state: 'live' | 'leaving';
	readonly startedMs: number;
};

/** Calls to the platform. None rejects; each settles within the client's timeout and retries. */
export type PlatformClient = {
	readonly readRow: (table: string, key: string) => Promise<ReadResult<PlatformRow>>;
	readonly readRows: (table: string, prefix: string, limit: number) => Promise<ReadResult<readonly PlatformRow[]>>;
	readonly transact: (table: string, transaction: Transaction) => Promise<TransactionResult>;
	readonly getObject: (key: string) => Promise<ReadResult<string>>;
	/** Writes an object. `ok` is true if the platform confirmed the write. */
	readonly putObject: (key: string, body: string) => Promise<{readonly ok: boolean}>;
	readonly listVms: () => Promise<ReadResult<readonly ListedVm[]>>;
	readonly close: () => Promise<void>;
};

export type RetryReason = 'outage' | 'connection' | 'timeout' | 'bad_answer' | 'rate_limited';

/** Callbacks that count retries, for metrics. */
export type PlatformObserver = {
	readonly onRetry?: (reason: RetryReason) => void;
	/** Called when the budget allowed no retry. */
	readonly onRetryRefused?: (reason: RetryReason) => void;
};
