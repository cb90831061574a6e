/**
 * Decides which requests a VM sends to targets in the grace period of its planned stop.
 *
 * Fault pattern: requests that arrive late in the grace period, on connections that were opened
 * before, and that the end of the process would cut. At first the load balancer still sends new
 * callers, and all requests are served. Later a request is served only if it has to end before
 * the process does, and any other is refused as not run, so that its caller can go to another VM.
 * Requests that still run or wait when the process is about to end are ended by this VM, so that none
 * is queued or resumed by a process that will not send it.
 */

export type Departure = {
	/** Begins the planned stop. `endMs` is the monotonic time at which the process cuts what still runs. */
	readonly begin: (endMs: number) => void;
	/** Ends the time in which the load balancer still sends new callers; calls the listeners. */
	readonly endNotice: () => void;
	/** Whether a request that has to end by a monotonic time in milliseconds may be sent to a target. */
	readonly maySend: (endByMs: number) => boolean;
	/** Ends the grace period; calls the listeners. No request is sent from then on. */
	readonly endGrace: () => void;
	readonly isGraceOver: () => boolean;
	/** Adds a listener that is called at the end of the notice and at the end of the grace period; returns a function that removes it. */
	readonly onChange: (listener: () => void) => () => void;
};

export const createDeparture = (): Departure => {
	let processEndMs = Infinity;
	let isNoticeOver = false;
	let isGraceOver = false;
	const listeners = new Set<() => void>();
	const notifyAll = (): void => {
		for (const listener of listeners) {
			listener();
		}
	};

	return {
		begin(endMs) {
			processEndMs = endMs;
		},
		endNotice() {
			isNoticeOver = true;
			notifyAll();
		},
		maySend: endByMs => !isGraceOver && (!isNoticeOver || endByMs <= processEndMs),
		endGrace() {
			isNoticeOver = true;
			isGraceOver = true;
			notifyAll();
		},
		isGraceOver: () => isGraceOver,
		onChange(listener) {
			listeners.add(listener);
			return () => {
				listeners.delete(listener);
			};
		},
	};
};
