/** Estimates how usual lines are at the targets of a service, from the replies to this VM's reservation requests. */

/** Weight of one reply. */
const REPLY_WEIGHT = 0.15;
/** Share of the replies from which lines are usual. While a tenth of the targets has none, a second attempt elsewhere often starts at once. */
const USUAL_SHARE = 0.95;
/** Milliseconds after the last reply for which the estimate is valid. */
const VALID_MS = 1000;

export type LineEncounters = {
	readonly note: (hasLine: boolean, nowMs: number) => void;
	/** Whether nearly all targets have a line. */
	readonly areUsual: (nowMs: number) => boolean;
	/** Whether nearly no target has a line. */
	readonly areRare: (nowMs: number) => boolean;
};

export const createLineEncounters = (): LineEncounters => {
	let share = 0;
	let notedMs = -Infinity;
	return {
		note(hasLine, nowMs) {
			const last = nowMs < notedMs + VALID_MS ? share : 0;
			share = last + ((Number(hasLine) - last) * REPLY_WEIGHT);
			notedMs = nowMs;
		},
		areUsual: nowMs => nowMs < notedMs + VALID_MS && share >= USUAL_SHARE,
		areRare: nowMs => nowMs < notedMs + VALID_MS && share <= 1 - USUAL_SHARE,
	};
};
