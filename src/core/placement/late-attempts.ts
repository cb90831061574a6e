/**
 * Limits the attempts to start late requests in one dispatch round.
 *
 * Load pattern: many late requests are queued at a VM with little processor time. For each
 * attempt, the VM chooses a target and, with model engines, sends a message to another VM. If
 * the first attempt of a round fails, later ones fail too, since the same limits apply to them.
 */

/** Attempts in a dispatch round that fail or that send a reservation request. With a round every 200 ms, a VM sends at most five such messages a second. */
const MAX_ATTEMPTS = 1;

export type LateAttempts = {
	readonly mayAttempt: () => boolean;
	readonly record: (hasStarted: boolean) => void;
};

/** @param usesReservations - Whether an attempt only sends a reservation request to another VM. Then every attempt counts, not just a failed one. */
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
