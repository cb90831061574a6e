/** Bound on the retry delay of refused callers. */

/** Largest share of a caller's remaining time that its retry delay may take; a caller does not retry after a longer delay. */
export const MAX_RETRY_WAIT_SHARE = 1 / 3;
