/**
 * Handles uncaught errors of the process. An error ends at most the request in which it occurred:
 * it is logged with its stack and counted, and the process continues. Many errors in a short time
 * mean that the process is broken, so it shuts down gracefully.
 */
import process from 'node:process';
import {type Clock} from '../../core/clock.js';
import {createSlidingCount} from '../../core/placement/sliding-count.js';
import {type Log} from './log.js';
import {type Metrics} from './metrics.js';

/** Number of errors within `WINDOW_MS` from which the process is treated as broken: more than a single faulty peer causes in that time. */
const BROKEN_ERRORS = 20;
const WINDOW_MS = 10_000;

export type UncaughtOptions = {
	readonly log: Log;
	readonly metrics: Pick<Metrics, 'uncaughtErrors'>;
	readonly clock: Clock;
	/** Emits `uncaughtException` and `unhandledRejection`. */
	readonly events?: {readonly on: (event: string, listener: (err: unknown) => void) => unknown};
};

/** Starts to handle uncaught errors. Resolves when so many have occurred that the process should shut down. */
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
