/** Bound on the retry delay of refused callers. */

/** Largest share of a caller's remaining time that its retry delay may take. A caller that is asked to wait longer does not retry. */
export const MAX_RETRY_WAIT_SHARE = 1 / 3;
