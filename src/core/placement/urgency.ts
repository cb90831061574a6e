/**
 * Whether more urgent requests are short of capacity, so that less urgent ones give way.
 *
 * Load pattern: many VMs with short queues each. A less urgent request that starts at once at
 * a VM without a queue takes what a more urgent one waits for at another VM. Each VM sees a
 * sample of all requests, so what waited here lately tells of the fleet.
 */

/** Milliseconds of waiting that are no accident of one moment. */
const MIN_WAIT_MS = 60;
/** Milliseconds for which a wait counts: a VM of a large fleet sees some ten requests in it. */
const WAIT_VALID_MS = 1000;

export type Urgency = {
	/** Takes in that a request of a priority has waited for a time. */
	readonly noteWait: (priority: number, waitedMs: number, nowMs: number) => void;
	/** Whether a request of a priority gives way to more urgent ones. */
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
