/**
 * Decides when a VM leaves the load balancer's rotation because it refuses callers.
 *
 * Load pattern: one team sends far more requests than one VM can serve, for some seconds. The
 * balancer chooses the VM by a hash of the caller, so a refused caller that retries reaches the
 * same VM, while most other VMs are idle. Its new connections reach other VMs only while this VM
 * is out of rotation. Open connections stay and are served. So the flood spreads over several
 * VMs, and the admission control of each of them protects the other teams.
 */

/** Weight of the newest sample in the average refused share. At four samples a second, the average covers about a second. */
const SAMPLE_WEIGHT = 0.3;
/** Average refused share from which the VM leaves the rotation, and the one below which it may return. */
const LEAVE_SHARE = 0.15;
const RETURN_SHARE = 0.03;
/** Least milliseconds out of rotation. The balancer needs two health checks, a second apart, to notice that the VM has left. */
const MIN_OUT_MS = 2500;
/** Most milliseconds out of rotation, and least milliseconds in rotation after a return. A VM that serves callers also has to accept new callers. */
const MAX_OUT_MS = 8000;
const MIN_IN_MS = 2000;

export type Rotation = {
	/** Records the refused share of the last requests, from 0 to 1. Has to be called four times a second. */
	readonly update: (refusedPart: number, nowMs: number) => void;
	/** Whether the VM is out of rotation: its health check asks the load balancer to send new callers to other VMs. */
	readonly isOutOfRotation: () => boolean;
};

/** Creates the state of a VM that is in rotation. */
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
