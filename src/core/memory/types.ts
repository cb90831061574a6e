/** Messages to the accounting of buffered bytes (`HeldMemory`), and the effects that it returns. */

/** Kind of buffered bytes. */
export type HeldPart =
	/** Bytes of a request body that is arriving, or that is buffered while the request may be retried. */
	| 'body'
	/** Bytes of a response, or of an incomplete event, that are not forwarded to the caller yet. */
	| 'collected'
	/** Forwarded response bytes that the caller has not read, and the buffers of the paused connection to the target. */
	| 'unread';

export type MemoryBounds = {
	/** First bound: buffered bytes above which new requests are refused. */
	readonly refuseBytes: number;
	/** Second bound: buffered bytes above which the slowest and largest responses are closed at once. */
	readonly shedBytes: number;
};

export type MemoryMessage =
	/** Sets the bytes of one kind that are buffered for one request. */
	| {readonly kind: 'held'; readonly id: number; readonly part: HeldPart; readonly bytes: number}
	/** The caller has read or sent something. */
	| {readonly kind: 'progress'; readonly id: number}
	/** The request has ended. */
	| {readonly kind: 'gone'; readonly id: number}
	/** A periodic check, several times a second while the first bound is exceeded. */
	| {readonly kind: 'tick'};

/** Closes the response of one request. */
export type MemoryEffect = {
	readonly kind: 'end';
	readonly id: number;
	/** `stalled`: the caller has read nothing for a second while the first bound is exceeded; `bound`: the second bound is exceeded. */
	readonly reason: 'stalled' | 'bound';
	/** Bytes that were buffered for the request. */
	readonly heldBytes: number;
	/** Milliseconds since the caller last made progress. */
	readonly idleMs: number;
	/** Bytes that were buffered for all requests at the time of the decision. */
	readonly totalBytes: number;
};
