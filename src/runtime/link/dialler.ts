/**
 * Decides when to dial one peer. Of two VMs, the one with the smaller id dials at once. The other
 * dials after `fallbackDialMs` without a link. Both use exponential back-off with jitter.
 */
import {type LinkLimits} from './types.js';

export type DiallerOptions = {
	readonly self: string;
	readonly peer: string;
	readonly limits: Pick<LinkLimits, 'minBackoffMs' | 'maxBackoffMs' | 'fallbackDialMs'>;
	readonly random: () => number;
	readonly dial: () => void;
};

export type Dialler = {
	/** Schedules the next dial of a peer without a link. Does nothing while a dial is scheduled. */
	readonly schedule: () => void;
	/** Cancels a scheduled dial and resets the back-off, after a link has come into use. */
	readonly reset: () => void;
	readonly stop: () => void;
};

/** Returns the milliseconds to wait before attempt number `attempt`, counted from 0. */
export const dialDelayMs = (
	{self, peer, limits, random}: Omit<DiallerOptions, 'dial'>,
	attempt: number,
): number => {
	const {minBackoffMs, maxBackoffMs, fallbackDialMs} = limits;
	const fallbackMs = self < peer ? 0 : fallbackDialMs;
	const backoffMs = attempt === 0 ? 0 : Math.min(maxBackoffMs, minBackoffMs * (2 ** (attempt - 1)));
	return (fallbackMs + backoffMs) * (0.5 + random());
};

/** Creates a dialler; it dials only after `schedule` has been called. */
export const createDialler = (options: DiallerOptions): Dialler => {
	let attempt = 0;
	let timer: NodeJS.Timeout | undefined;

	return {
		schedule() {
			timer ??= setTimeout(() => {
				timer = undefined;
				attempt++;
				options.dial();
			}, dialDelayMs(options, attempt));
		},
		reset() {
			attempt = 0;
			clearTimeout(timer);
			timer = undefined;
		},
		stop() {
			clearTimeout(timer);
			timer = undefined;
		},
	};
};
