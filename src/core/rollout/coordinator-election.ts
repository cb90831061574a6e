/**
 * Elects the VM that coordinates the roll-out of a service: the first responsive VM in the
 * order of rendezvous hashing. VMs with different lists of VMs may elect two coordinators for
 * a time; the store lets only one of them write.
 */
import {rankByRendezvous} from '../membership/rendezvous.js';

/** Milliseconds without a fresh announcement after which the next VM takes over. An announcement reaches all VMs by gossip in about a second, and the time limit of a roll-out may be only twelve seconds. A needless take-over costs one read of the state row. */
const UNRESPONSIVE_AFTER_MS = 1500;
/** Milliseconds for which an unresponsive VM is skipped unless a new announcement from it arrives. */
const SKIP_UNRESPONSIVE_MS = 15_000;
/** Milliseconds between calls of `electCoordinator` above which the process is assumed to have been paused. */
const PAUSE_DETECTION_MS = 600;

export class CoordinatorElection {
	readonly #key: string;
	readonly #vms: () => readonly string[];
	/** Time at which a VM was found to be unresponsive or handed over, by VM. */
	readonly #unresponsiveSinceMs = new Map<string, number>();
	#names: readonly string[] | undefined;
	#ranked: readonly string[] = [];
	#coordinator: string | undefined;
	/** When the coordinator was elected, or last renewed an announcement. */
	#activeMs = 0;
	#lastCheckMs = -Infinity;

	/** @param vms - Returns the names of all VMs, including this one; the same array until the names are looked up again. */
	constructor(service: string, vms: () => readonly string[]) {
		this.#key = `rollout/${service}`;
		this.#vms = vms;
	}

	/** Returns the coordinator as of now. `isNeeded` tells whether the coordinator has something to announce. */
	electCoordinator(isNeeded: boolean, nowMs: number): string | undefined {
		const names = this.#vms();
		if (names !== this.#names) {
			this.#names = names;
			this.#ranked = rankByRendezvous(this.#key, names);
		}

		// After a pause of this process, the time without announcements says nothing about other VMs.
		const wasPaused = nowMs - this.#lastCheckMs > PAUSE_DETECTION_MS;
		this.#lastCheckMs = nowMs;
		if (!isNeeded || wasPaused) {
			this.#activeMs = nowMs;
		} else if (this.#coordinator !== undefined && nowMs - this.#activeMs > UNRESPONSIVE_AFTER_MS) {
			this.#unresponsiveSinceMs.set(this.#coordinator, nowMs);
		}

		const next = this.#ranked.find(vm => (this.#unresponsiveSinceMs.get(vm) ?? -Infinity) + SKIP_UNRESPONSIVE_MS <= nowMs) ?? this.#ranked[0];
		if (next !== this.#coordinator) {
			this.#coordinator = next;
			this.#activeMs = nowMs;
		}

		return next;
	}

	/** Records that a VM has handed the coordination over. */
	noteSteppedDown(vm: string, nowMs: number): void {
		this.#unresponsiveSinceMs.set(vm, nowMs);
	}

	/** Records that a VM has renewed an announcement at `renewedMs`. */
	noteAnnouncement(vm: string, renewedMs: number): void {
		// An earlier announcement does not show that the VM is back: other VMs pass it on for a while.
		if (renewedMs > (this.#unresponsiveSinceMs.get(vm) ?? -Infinity)) {
			this.#unresponsiveSinceMs.delete(vm);
		}

		if (vm === this.#coordinator) {
			this.#activeMs = Math.max(this.#activeMs, renewedMs);
		}
	}
}
