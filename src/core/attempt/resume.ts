/** How often, and when, a broken stream is resumed. */

/** Resumptions in a row without a new token between them, at most. */
const MAX_ATTEMPTS = 3;
/** Milliseconds before the first resumption, doubled with each one in a row. */
const BASE_DELAY_MS = 20;

export type ResumeState = {
	/** Resumptions in a row at `offset`. */
	readonly attempts: number;
	readonly offset: number;
};

export const initialResume: ResumeState = {attempts: 0, offset: 0};

/** Plans the resumption of a stream that broke before token `offset`; undefined gives up. */
export const planResume = (state: ResumeState, offset: number): {readonly state: ResumeState; readonly delayMs: number} | undefined => {
	const attempts = offset > state.offset ? 0 : state.attempts;
	return attempts >= MAX_ATTEMPTS ? undefined : {state: {attempts: attempts + 1, offset}, delayMs: BASE_DELAY_MS * (2 ** attempts)};
};
