/**
 * Limits the attempts to start late requests in one dispatch round. Load pattern: many late
 * requests are queued at a small VM, and each attempt costs a choice of a target and, with model
 * engines, a message to another VM. If the first ones fail, the others fail too, since the same
 * limits apply to them.
 */

/** Attempts in a round that fail or that send a reservation request: with a round every 200 ms, at most five messages a second. */
const MAX_ATTEMPTS = 1;

export type LateAttempts = {
	readonly mayAttempt: () => boolean;
	readonly record: (hasStarted: boolean) => void;
};

/** @param usesReservations - Whether an attempt only sends a reservation request to another VM. */
export const createLateAttempts = (usesReservations: boolean): LateAttempts => {
	let attempts = 0;
	return {
		mayAttempt: () => attempts < MAX_ATTEMPTS,
		record(hasStarted) {
			if (usesReservations || !hasStarted) {
				attempts++;
			}
		},
	};
};
