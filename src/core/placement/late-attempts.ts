/**
 * Bounds the tries of late requests in one round. Load pattern: many late requests wait at a
 * small VM; each try costs a choice of a target and, in front of engines, a call to another VM.
 * What holds for the first ones holds for the rest, which have the same limits.
 */

/** Tries that fail, or that ask another VM, in a round: with a round every 200 ms five calls a second at most. */
const MAX_ATTEMPTS = 1;

export type LateAttempts = {
	readonly mayAttempt: () => boolean;
	readonly record: (hasStarted: boolean) => void;
};

/** @param usesReservations - Whether a start is only a question to another VM. */
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
