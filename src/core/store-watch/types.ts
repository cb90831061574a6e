/** Messages and effects of the watcher of a table, and what VMs send each other about how current their tables are. */

/** How current a VM's view of the store is. The version of a table is that of its last known change, qualified by the store's era (`store-version.ts`); qualified versions only grow. */
export type StoreFreshness = {
	readonly versions: ReadonlyMap<string, number>;
	/** Milliseconds since the store last answered any VM, as far as the sender knows. */
	readonly storeAgeMs: number;
	/** Milliseconds since the first of the calls that the store has not served, if the sender takes this for an outage that is not over. */
	readonly outageAgeMs: number | undefined;
};

export type WatchMessage =
	| {readonly kind: 'start'}
	/** The whole table was read, as of `version`. */
	| {readonly kind: 'read'; readonly call: number; readonly version: number}
	/** All changes up to `version` were received; `lastChangeVersion` is the version of the last of them, if there were any. */
	| {readonly kind: 'changes'; readonly call: number; readonly version: number; readonly lastChangeVersion: number | undefined}
	| {readonly kind: 'history-lost'; readonly call: number}
	| {readonly kind: 'failed'; readonly call: number}
	/** Another VM has reported a change. */
	| {readonly kind: 'heard'; readonly version: number}
	/** The store came back from an older copy: the known version means nothing in its new era. */
	| {readonly kind: 'restored'}
	/** The process was paused, so a call under way may have been answered long ago. */
	| {readonly kind: 'resumed'}
	/** The store serves this VM again after a failed call. A call that is under way may have begun before and remain without a response. */
	| {readonly kind: 'regained'}
	| {readonly kind: 'tick'};

/** Why a call is given up: another VM knows of a change, or the store, or the process, was away and may have missed its response. */
export type DropReason = 'behind' | 'regained' | 'resumed' | 'restored';

export type WatchEffect =
	/** Reads the whole table. */
	| {readonly kind: 'read'; readonly call: number}
	/** Asks the store for the changes after a version, and waits up to `waitMs` for the first. */
	| {readonly kind: 'wait'; readonly call: number; readonly afterVersion: number; readonly waitMs: number}
	/** Cancels a call and closes its connection; its response no longer counts. */
	| {readonly kind: 'drop'; readonly call: number; readonly reason: DropReason}
	/** Requests a `tick` message at the time `atMs` of this VM's clock. */
	| {readonly kind: 'wake'; readonly atMs: number};

export type ContactMessage =
	/** The store served a call of this VM. */
	| {readonly kind: 'answered'}
	/** The store served a call of another VM at `atMs` of this VM's clock. */
	| {readonly kind: 'answered-elsewhere'; readonly atMs: number}
	/** Another VM takes the failures of its calls since `sinceMs` of this VM's clock for an outage. */
	| {readonly kind: 'outage-elsewhere'; readonly sinceMs: number}
	/** A watcher's call that began at `begunMs` was refused or got no response. */
	| {readonly kind: 'watch-failed'; readonly begunMs: number}
	/** The same of another call, which the store answers at once. */
	| {readonly kind: 'read-failed'; readonly begunMs: number}
	/** The process was paused. */
	| {readonly kind: 'resumed'}
	/** The store came back from an older copy, which lacks entries. */
	| {readonly kind: 'restored'}
	| {readonly kind: 'tick'};

export type ContactEffect =
	/** The store does not serve this VM. */
	| {readonly kind: 'lost'}
	/** The store serves this VM again. */
	| {readonly kind: 'regained'}
	/** The store has served a VM after an outage; before, it had served none for `quietMs` milliseconds. */
	| {readonly kind: 'outage-ended'; readonly quietMs: number}
	/** Makes a call that the store answers at once. */
	| {readonly kind: 'probe'}
	/** Requests a `tick` message at the time `atMs` of this VM's clock. */
	| {readonly kind: 'wake'; readonly atMs: number};

export type MissingEntriesMessage =
	| {readonly kind: 'missing' | 'present'; readonly id: string}
	| {readonly kind: 'tick'};

export type MissingEntriesEffect =
	/** The target has left. */
	| {readonly kind: 'left'; readonly id: string}
	/** The target stays in use until its entry is written again or the time for that is over. */
	| {readonly kind: 'kept'; readonly id: string}
	/** Requests a `tick` message at the time `atMs` of this VM's clock. */
	| {readonly kind: 'wake'; readonly atMs: number};
