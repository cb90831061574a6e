/** How long callers wait to come back. */

/** Part of its remaining time for which a caller that is refused waits; told to wait longer, it does not come back. */
export const MAX_RETRY_WAIT_SHARE = 1 / 3;
