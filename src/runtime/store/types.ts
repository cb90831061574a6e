/** Port to a store of versioned rows in tables, and the session of a VM with it. All versions are qualified by the store's era (`store-version.ts`). */
import {type Clock} from '../../core/clock.js';
import {type StoredVerdict} from '../../core/quarantine/types.js';
import {type StoreFreshness} from '../../core/store-watch/types.js';
import {type Log} from '../observe/log.js';

/** A row, or the removal of a row. */
export type StoreRow = {
	readonly key: string;
	/** Value of the row; undefined if it was removed. */
	readonly value: Uint8Array | undefined;
	/** Qualified version of the row's last change, in the era of the response; 0 if the store does not report one. */
	readonly version: number;
};

export type RowsPage = {
	readonly kind: 'rows';
	readonly rows: readonly StoreRow[];
	readonly hasMore: boolean;
	/** Qualified version after which a feed continues. */
	readonly atVersion: number;
};

/** All rows of a table, with the version at which the read began. */
export type WholeTable = {readonly kind: 'table'; readonly rows: readonly StoreRow[]; readonly atVersion: number};

/** `history-lost`: the store no longer has the requested changes, or has begun a new era since. */
export type StoreFailure =
	| {readonly kind: 'history-lost'}
	| {readonly kind: 'unavailable'; readonly reason: string};

/** Calls that never throw and end within their timeout. */
export type Store = {
	/** Makes a small call that the store answers at once. */
	readonly probe: () => Promise<{readonly kind: 'ok'} | StoreFailure>;
	/** Reads one page of a table, ordered by key. */
	readonly read: (table: string, from?: string) => Promise<RowsPage | StoreFailure>;
	/** Reads the changes of a table after a version; waits up to `waitMs` for the first. `signal` cancels the call and closes its connection. */
	readonly changes: (table: string, afterVersion: number, waitMs: number, signal?: AbortSignal) => Promise<RowsPage | StoreFailure>;
	/** Writes one row, regardless of its present version. */
	readonly write: (table: string, key: string, value: string) => Promise<{readonly kind: 'ok'} | StoreFailure>;
};

/** A table that is read completely once and then kept up to date by its changes. */
export type WatchedTable = {
	readonly table: string;
	/** Milliseconds from the receipt of a change to the next call. */
	readonly pauseMs: number;
	readonly onAll: (rows: readonly StoreRow[], atVersion: number) => void;
	readonly onChanges: (rows: readonly StoreRow[]) => void;
};

export type StoreSessionOptions = {
	readonly store: Store;
	readonly clock: Clock;
	readonly log: Log;
	/** Returns random numbers that are uniform in [0, 1). */
	readonly random: () => number;
	/** Returns the number of VMs in the fleet, as known now. */
	readonly vms: () => number;
	readonly onLost: () => void;
	readonly onRegained: () => void;
	/** Ends all calls' effects. */
	readonly stopped: AbortSignal;
};

export type StoreSession = {
	readonly watch: (table: WatchedTable) => void;
	/** Begins to notice pauses of the process. */
	readonly start: () => void;
	/** Reads a whole table; undefined if the store did not serve the read. */
	readonly readAll: (table: string) => Promise<WholeTable | undefined>;
	/** Reads a table beside its watcher, until the read is as recent as what the watcher knows; undefined once the session has stopped. */
	readonly readBesideWatcher: (table: string) => Promise<WholeTable | undefined>;
	/** Returns the time from which a missing entry means that its writer has left; infinite while the store does not serve this VM. */
	readonly entriesCompleteMs: () => number;
	/** Reads all watched tables again after the store has come back from an older copy. */
	readonly onRestored: () => void;
	/** Returns the watched tables, each with the version up to which it is known. */
	readonly knownVersions: () => ReadonlyMap<string, number>;
	/** Called after a pause of the process. */
	readonly onResumed: () => void;
	/** Whether the tables are current. False after a pause of the process, until they have been read again or the time limit for that has passed. */
	readonly isCurrent: () => boolean;
	/** Returns the milliseconds since the store last responded to this VM. */
	readonly responseAgeMs: () => number;
	readonly freshness: () => StoreFreshness;
	/** Handles the freshness that another VM reported. */
	readonly onFreshness: (freshness: StoreFreshness) => void;
};

/** Rows of the store with verdicts. */
export type VerdictStore = {
	/** Undefined if the store does not serve the read. */
	readonly read: () => Promise<readonly StoredVerdict[] | undefined>;
	/** Writes a verdict, or with `undefined` that it has ended; returns whether it was written. */
	readonly write: (part: string, verdict: {readonly checks: number} | undefined) => Promise<boolean>;
};
