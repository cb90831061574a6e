/**
 * Detects a lack of capacity for more urgent requests, so that less urgent ones yield.
 *
 * Load pattern: many VMs with short queues. A less urgent request that starts at once at a VM
 * without a queue takes the capacity that a more urgent one waits for at another VM. Each VM
 * receives a sample of all requests, so recent waits at this VM are typical of the fleet.
 */

/** Shortest wait in milliseconds that indicates a lack of capacity. */
const MIN_WAIT_MS = 60;
/** Milliseconds for which a wait counts. A VM of a large fleet receives about ten requests in this time. */
const WAIT_VALID_MS = 1000;

export type Urgency = {
	/** Records for how long a request of a priority was queued. */
	readonly noteWait: (priority: number, waitedMs: number, nowMs: number) => void;
	/** Whether requests of a priority yield to more urgent ones. */
	readonly givesWay: (priority: number, nowMs: number) => boolean;
};

export const createUrgency = (): Urgency => {
	const waitedAtMs = new Map<number, number>();
	return {
		noteWait(priority, waitedMs, nowMs) {
			if (waitedMs >= MIN_WAIT_MS) {
				waitedAtMs.set(priority, nowMs);
			}
		},
		givesWay(priority, nowMs) {
			for (const [other, atMs] of waitedAtMs) {
				if (nowMs >= atMs + WAIT_VALID_MS) {
					waitedAtMs.delete(other);
				} else if (other < priority) {
					return true;
				}
			}

			return false;
		},
	};
};
