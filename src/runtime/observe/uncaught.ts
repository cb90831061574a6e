/**
 * The one place for errors that nothing caught. One of them ends its own request at most:
 * the process goes on, the error is logged with its stack and counted. Many in a short time
 * mean that the process is broken, and it stops in order.
 */
import process from 'node:process';
import {type Clock} from '../../core/clock.js';
import {createSlidingCount} from '../../core/placement/sliding-count.js';
import {type Log} from './log.js';
import {type Metrics} from './metrics.js';

/** Errors within the window, in milliseconds, from which the process counts as broken: more than one bad peer causes in passing. */
const BROKEN_ERRORS = 20;
const WINDOW_MS = 10_000;

export type UncaughtOptions = {
	readonly log: Log;
	readonly metrics: Pick<Metrics, 'uncaughtErrors'>;
	readonly clock: Clock;
	/** Where uncaught errors show. */
	readonly events?: {readonly on: (event: string, listener: (err: unknown) => void) => unknown};
};

/** Takes over from now on; resolves when the process had better stop. */
export const watchUncaught = async ({log, metrics, clock, events = process}: UncaughtOptions): Promise<void> => new Promise(resolve => {
	const recent = createSlidingCount(WINDOW_MS);
	const record = (err: unknown): void => {
		metrics.uncaughtErrors.inc();
		recent.add(clock.nowMs());
		log.error('error that nothing caught', {fault: String(err), stack: err instanceof Error ? err.stack : undefined});
		if (recent.size(clock.nowMs()) >= BROKEN_ERRORS) {
			resolve();
		}
	};

	events.on('uncaughtException', record);
	events.on('unhandledRejection', record);
});
