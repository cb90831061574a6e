/**
 * Decides when to dial one peer: the VM with the smaller id at once, the other when no
 * link came about, both with jittered exponential back-off.
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
	/** There is no link: dial when due. Does nothing while an attempt is pending. */
	readonly schedule: () => void;
	/** A link is up: the next back-off starts from the beginning. */
	readonly reset: () => void;
	readonly stop: () => void;
};

/** Milliseconds before attempt number `attempt`, from 0, of a VM that dials first or second. */
export const dialDelayMs = (
	{self, peer, limits, random}: Omit<DiallerOptions, 'dial'>,
	attempt: number,
): number => {
	const {minBackoffMs, maxBackoffMs, fallbackDialMs} = limits;
	const fallbackMs = self < peer ? 0 : fallbackDialMs;
	const backoffMs = attempt === 0 ? 0 : Math.min(maxBackoffMs, minBackoffMs * (2 ** (attempt - 1)));
	return (fallbackMs + backoffMs) * (0.5 + random());
};

/** Makes a dialler that has not been scheduled. */
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
