/**
 * Decides when a VM leaves the load balancer's rotation because it refuses callers. Handles a
 * flood of one team for some seconds: the balancer chooses the VM by a hash of the caller, so a
 * caller that was refused and comes back reaches the same VM, while most others are idle. Only
 * while the VM is out of rotation do new connections reach other VMs; those that are open stay
 * and are served, so that a flood spreads over the VMs that it visits.
 *
 * The admission control protects the other teams at each of these VMs.
 */

/** Weight of one look in the average of what is refused; at four looks a second it covers about a second. */
const SAMPLE_WEIGHT = 0.3;
/** Part of the requests refused from which the VM leaves, and below which it may come back. */
const LEAVE_SHARE = 0.15;
const RETURN_SHARE = 0.03;
/** Milliseconds for which a VM stays out at least: the balancer needs two checks, a second apart, to notice. */
const MIN_OUT_MS = 2500;
/** Milliseconds for which it stays out at most, and then in at least: a VM that serves callers has to take new ones too. */
const MAX_OUT_MS = 8000;
const MIN_IN_MS = 2000;

export type Rotation = {
	/** Takes in the part of the last requests that was refused, from 0 to 1; to be called four times a second. */
	readonly update: (refusedPart: number, nowMs: number) => void;
	/** Whether new callers had better reach other VMs. */
	readonly isOutOfRotation: () => boolean;
};

/** A VM in rotation. */
export const createRotation = (): Rotation => {
	let averageRefusedShare = 0;
	let isOut = false;
	let changedMs = -Infinity;

	const mayLeave = (nowMs: number): boolean => averageRefusedShare >= LEAVE_SHARE && nowMs >= changedMs + MIN_IN_MS;
	const mayReturn = (nowMs: number): boolean =>
		(averageRefusedShare < RETURN_SHARE && nowMs >= changedMs + MIN_OUT_MS) || nowMs >= changedMs + MAX_OUT_MS;

	return {
		update(refusedPart, nowMs) {
			averageRefusedShare += (refusedPart - averageRefusedShare) * SAMPLE_WEIGHT;
			if (isOut ? mayReturn(nowMs) : mayLeave(nowMs)) {
				isOut = !isOut;
				changedMs = nowMs;
			}
		},
		isOutOfRotation: () => isOut,
	};
};
