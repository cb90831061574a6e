/** Returns the milliseconds since the Unix epoch; never decreases within a process. */
export const wallClockMs = (): number => performance.timeOrigin + performance.now();
