/** Decides whether, and after which delay, a broken stream is resumed. */

/** Most consecutive resumptions without a new token. */
const MAX_ATTEMPTS = 3;
/** Delay in milliseconds before the first resumption; it doubles with each consecutive one. */
const BASE_DELAY_MS = 20;

export type ResumeState = {
	/** Consecutive resumptions at `offset`. */
	readonly attempts: number;
	/** Offset of the first token that has not arrived. */
	readonly offset: number;
};

export const initialResume: ResumeState = {attempts: 0, offset: 0};

/** Plans the resumption of a stream that broke before token `offset`. Returns undefined when the stream is not resumed again. */
export const planResume = (state: ResumeState, offset: number): {readonly state: ResumeState; readonly delayMs: number} | undefined => {
	const attempts = offset > state.offset ? 0 : state.attempts;
	return attempts >= MAX_ATTEMPTS ? undefined : {state: {attempts: attempts + 1, offset}, delayMs: BASE_DELAY_MS * (2 ** attempts)};
};
