/** Waits until connections have been read. */
import {setImmediate as turn} from 'node:timers/promises';

/**
 * Resolves once the connections were read again, so that what arrived on them before is known.
 * The first turn ends in the loop's current round, the second after it has read.
 */
export const waitForSocketReads = async (): Promise<void> => {
	await turn();
	await turn();
};
