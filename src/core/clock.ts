/**
 * A monotonic clock in milliseconds. Its zero is arbitrary, so readings are comparable only
 * within one process. Code that makes decisions has no clock: it receives readings as arguments.
 */
export type Clock = {
	/** Returns the milliseconds since an arbitrary, fixed time. Never decreases. */
	readonly nowMs: () => number;
};
