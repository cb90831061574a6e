/**
 * Limits the replies to VMs that blame a part which was sound here.
 *
 * Load pattern: many targets end at one moment, so every VM of a large fleet blames sound parts, and every VM knows
 * better. If each report were replied to, each VM would send and receive hundreds of datagrams a second.
 */

/** Milliseconds after a reply in which the same VM gets no other one. It merges the first one, and then passes it on itself. */
const SAME_VM_MS = 1000;
/** Least milliseconds between two replies. Within the time that a verdict has to stand, the VMs that were replied to reach all others. */
const MIN_INTERVAL_MS = 100;
/** Most VMs of which the last reply is remembered: those that get one within `SAME_VM_MS`. */
const MAX_VMS = SAME_VM_MS / MIN_INTERVAL_MS;

export type ReplyLimit = {
	/** Whether a reply may be sent to a VM now; if so, counts it as sent. */
	readonly take: (vm: string, nowMs: number) => boolean;
};

export const createReplyLimit = (): ReplyLimit => {
	const repliedMs = new Map<string, number>();
	let lastMs = -Infinity;
	return {
		take(vm, nowMs) {
			if (nowMs < lastMs + MIN_INTERVAL_MS || nowMs < (repliedMs.get(vm) ?? -Infinity) + SAME_VM_MS) {
				return false;
			}

			lastMs = nowMs;
			repliedMs.delete(vm);
			repliedMs.set(vm, nowMs);
			const [oldest] = repliedMs.keys();
			if (repliedMs.size > MAX_VMS && oldest !== undefined) {
				repliedMs.delete(oldest);
			}

			return true;
		},
	};
};
