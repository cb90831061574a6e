/** What VMs tell each other of how new their knowledge of the platform's tables is. */

/** Versions only grow; a table's is that of its last known change. */
export type StoreFreshness = {
	readonly versions: ReadonlyMap<string, number>;
	/** Milliseconds since the store last answered any VM that the sender knows of. */
	readonly storeAgeMs: number;
};

export type WatchMessage =
	| {readonly kind: 'start'}
	/** The whole table was read, as of a version. */
	| {readonly kind: 'read'; readonly call: number; readonly version: number}
	/** All changes up to a version were told; `changedAt` is the version of the last of them, if there were any. */
	| {readonly kind: 'changes'; readonly call: number; readonly version: number; readonly lastChangeVersion: number | undefined}
	| {readonly kind: 'history-lost'; readonly call: number}
	| {readonly kind: 'failed'; readonly call: number}
	/** Another VM knows of a change. */
	| {readonly kind: 'heard'; readonly version: number}
	/** The process was paused: what is under way may have been answered long ago. */
	| {readonly kind: 'resumed'}
	| {readonly kind: 'tick'};

export type WatchEffect =
	/** Reads the whole table. */
	| {readonly kind: 'read'; readonly call: number}
	/** Asks for changes after a version, waiting for the first. */
	| {readonly kind: 'wait'; readonly call: number; readonly afterVersion: number; readonly waitMs: number}
	/** Gives a call up together with its connection; its answer no longer counts. */
	| {readonly kind: 'drop'; readonly call: number}
	/** Asks for a `tick` at a reading of the clock. */
	| {readonly kind: 'wake'; readonly atMs: number};
