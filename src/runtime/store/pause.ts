import {setTimeout as delay} from 'node:timers/promises';

/** Returns a function that waits for the given milliseconds, or until `stopped` is aborted. */
export const createPause = (stopped: AbortSignal) => async (ms: number): Promise<void> => {
	await delay(ms, undefined, {signal: stopped}).catch(() => undefined);
};
