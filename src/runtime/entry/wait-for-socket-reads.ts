/** Waits until the event loop has read what has arrived on the connections. */
import {setImmediate as turn} from 'node:timers/promises';

/**
 * Resolves once the event loop has read all connections again, so that everything that arrived
 * before this call has been processed. The first turn ends in the loop's current iteration, the
 * second after the next poll for input.
 */
export const waitForSocketReads = async (): Promise<void> => {
	await turn();
	await turn();
};
