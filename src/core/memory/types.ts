/** What the accounting of held memory is told and what it decides. */

/** What bytes are held for. */
export type HeldPart =
	/** A request body that arrives, or is kept while the request may be sent again. */
	| 'body'
	/** A response, or an unfinished event, that is not passed on yet. */
	| 'collected'
	/** A response that the caller has not read, with the buffers of its paused target. */
	| 'unread';

export type MemoryBounds = {
	/** Bytes held from which new requests are refused. */
	readonly refuseBytes: number;
	/** Bytes held from which the slowest and largest are ended at once. */
	readonly shedBytes: number;
};

export type MemoryMessage =
	/** What one request holds now, in place of what it held before. */
	| {readonly kind: 'held'; readonly id: number; readonly part: HeldPart; readonly bytes: number}
	/** The caller has read or sent something since. */
	| {readonly kind: 'progress'; readonly id: number}
	| {readonly kind: 'gone'; readonly id: number}
	| {readonly kind: 'tick'};

export type MemoryEffect = {
	readonly kind: 'end';
	readonly id: number;
	/** `stalled`: others are refused because of it; `bound`: the hard bound was passed. */
	readonly reason: 'stalled' | 'bound';
	readonly heldBytes: number;
	/** Milliseconds since the caller read something. */
	readonly idleMs: number;
	/** All that was held when it was decided. */
	readonly totalBytes: number;
};
