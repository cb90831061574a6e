/**
 * Decides which requests a VM sends to targets in the grace period of its planned stop.
 *
 * Fault pattern: requests that arrive late in the grace period, on connections that were opened
 * before, and that the end of the process would cut. At first the load balancer still sends new
 * callers, and all requests are served. Later a request is served only if it has to end before
 * the process does, and any other is refused as not run, so that its caller can go to another VM.
 */

export type Departure = {
	/** Begins the planned stop. `endMs` is the monotonic time at which the process cuts what still runs. */
	readonly begin: (endMs: number) => void;
	/** Ends the time in which the load balancer still sends new callers; calls the listeners. */
	readonly endNotice: () => void;
	/** Whether a request that has to end by a monotonic time in milliseconds may be sent to a target. */
	readonly maySend: (endByMs: number) => boolean;
	/** Adds a listener that is called once the answers of `maySend` change; returns a function that removes it. */
	readonly onNoticeEnd: (listener: () => void) => () => void;
};

export const createDeparture = (): Departure => {
	let processEndMs = Infinity;
	let isNoticeOver = false;
	const listeners = new Set<() => void>();
	return {
		begin(endMs) {
			processEndMs = endMs;
		},
		endNotice() {
			isNoticeOver = true;
			for (const listener of listeners) {
				listener();
			}
		},
		maySend: endByMs => !isNoticeOver || endByMs <= processEndMs,
		onNoticeEnd(listener) {
			listeners.add(listener);
			return () => {
				listeners.delete(listener);
			};
		},
	};
};
