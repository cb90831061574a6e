/** Port to a store of versioned rows in tables. All versions are qualified by the store's era (`store-version.ts`). */

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
