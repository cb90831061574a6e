/**
 * Chooses when a VM looks again at the requests that wait for a target.
 *
 * Load pattern: a flood at a VM with a small share of a processor. Some request always waits there, and looking at
 * all of them each 5 ms takes 50 ms of processor time a second and more, half of what the smallest VMs have.
 */

/** Least milliseconds between two looks. */
export const MIN_TICK_MS = 5;
/** Most milliseconds between two looks, below the 60 ms after which an owner's missing reply is noticed. */
export const MAX_TICK_MS = 40;
/** Multiple of the time that a look took which passes before the next one, so that looks take at most a tenth of the VM's time. */
const PAUSE_FACTOR = 9;

/** Returns the milliseconds from the end of a look at the waiting requests to the next one. */
export const nextTickMs = (tookMs: number): number => Math.min(MAX_TICK_MS, Math.max(MIN_TICK_MS, tookMs * PAUSE_FACTOR));
