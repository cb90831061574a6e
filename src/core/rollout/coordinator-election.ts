/**
 * Which VM coordinates the roll-out of a service: the first by rendezvous hashing that is
 * not silent. VMs that know different lists may follow two coordinators for a time; the
 * store lets only one of them write.
 */
import {rankByRendezvous} from '../membership/rendezvous.js';

/** Milliseconds without a fresh announcement after which the next VM takes over: gossip takes about a second, and a roll-out may have twelve in all. A take-over without need costs one read of the row. */
const UNRESPONSIVE_AFTER_MS = 1500;
/** Milliseconds for which a silent VM is passed over unless it is heard. */
const SKIP_UNRESPONSIVE_MS = 15_000;
/** Milliseconds between looks above which this process stood still. */
const PAUSE_DETECTION_MS = 600;

export class CoordinatorElection {
	readonly #key: string;
	readonly #vms: () => readonly string[];
	/** VMs that are passed over, since when. */
	readonly #unresponsiveSinceMs = new Map<string, number>();
	#names: readonly string[] | undefined;
	#ranked: readonly string[] = [];
	#coordinator: string | undefined;
	/** When the chosen VM was last heard or chosen. */
	#activeMs = 0;
	#lastCheckMs = -Infinity;

	/** @param vms - Names of all VMs, this one included; the same array while nothing was looked up. */
	constructor(service: string, vms: () => readonly string[]) {
		this.#key = `rollout/${service}`;
		this.#vms = vms;
	}

	/** The coordinator as of now. `isNeeded` tells whether it ought to announce something. */
	electCoordinator(isNeeded: boolean, nowMs: number): string | undefined {
		const names = this.#vms();
		if (names !== this.#names) {
			this.#names = names;
			this.#ranked = rankByRendezvous(this.#key, names);
		}

		// After a pause of this process the time without word says nothing of other VMs.
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

	/** A VM hands over. */
	noteSteppedDown(vm: string, nowMs: number): void {
		this.#unresponsiveSinceMs.set(vm, nowMs);
	}

	/** A VM has renewed an announcement at that moment. */
	noteHeard(vm: string, renewedMs: number): void {
		// What it announced before says nothing: other VMs pass that on for a while.
		if (renewedMs > (this.#unresponsiveSinceMs.get(vm) ?? -Infinity)) {
			this.#unresponsiveSinceMs.delete(vm);
		}

		if (vm === this.#coordinator) {
			this.#activeMs = Math.max(this.#activeMs, renewedMs);
		}
	}
}
