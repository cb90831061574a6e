/**
 * Bounds the tries of late requests in one round. Load pattern: many late requests wait at a
 * small VM; each try costs a choice of a target and, in front of engines, a call to another VM.
 * What holds for the first ones holds for the rest, which have the same limits.
 */

/** Tries that fail, or that ask another VM, in a round: with a round every 200 ms five calls a second at most. */
const MAX_TRIES = 1;

export type LateTries = {
	readonly mayTry: () => boolean;
	readonly note: (hasStarted: boolean) => void;
};

/** @param asksOthers - Whether a start is only a question to another VM. */
export const createLateTries = (asksOthers: boolean): LateTries => {
	let tries = 0;
	return {
		mayTry: () => tries < MAX_TRIES,
		note(hasStarted) {
			if (asksOthers || !hasStarted) {
				tries++;
			}
		},
	};
};
