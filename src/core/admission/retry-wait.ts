/** How long callers wait to come back. */

/** Part of its remaining time for which a caller that is refused waits; told to wait longer, it does not come back. */
export const RETRY_WAIT_PART = 1 / 3;
