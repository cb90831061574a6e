/**
 * Whether a VM should get no new callers. A flood moves on to another VM when the load
 * balancer takes the flooded one out of rotation, so a VM that answers all its callers by
 * refusing some stays in: only a VM that has been late in spite of its refusals for some
 * seconds is overloaded. Without a CPU budget the lateness of timers alone decides.
 */
import {type Ingress} from './ingress.js';
import {type LoadShed} from './load-shed.js';

/** Milliseconds for which timers have to be late although requests are refused by CPU time; the lateness itself takes over a second to show. */
const LATE_MS = 2000;

export type OverloadWatch = {
	/** To be called several times a second. */
	readonly look: (nowMs: number) => void;
	readonly isOverloaded: () => boolean;
};

export type OverloadWatchOptions = {
	readonly ingress: Pick<Ingress, 'isOverloaded'>;
	readonly shed: Pick<LoadShed, 'isOverloaded'>;
	/** Whether requests are admitted by CPU time. */
	readonly hasBudget: boolean;
};

export const createOverloadWatch = ({ingress, shed, hasBudget}: OverloadWatchOptions): OverloadWatch => {
	let lateSinceMs: number | undefined;
	let isLate = false;
	return {
		look(nowMs) {
			lateSinceMs = shed.isOverloaded() ? lateSinceMs ?? nowMs : undefined;
			isLate = lateSinceMs !== undefined && nowMs - lateSinceMs >= LATE_MS;
		},
		isOverloaded: () => hasBudget ? ingress.isOverloaded() || isLate : shed.isOverloaded(),
	};
};
