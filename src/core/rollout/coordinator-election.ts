/**
 * Which VM coordinates the roll-out of a service: the first by rendezvous hashing that is
 * not silent. VMs that know different lists may follow two coordinators for a time; the
 * store lets only one of them write.
 */
import {rankByRendezvous} from '../membership/rendezvous.js';

/** Milliseconds without a fresh announcement after which the next VM takes over: gossip takes about a second, and a roll-out may have twelve in all. A take-over without need costs one read of the row. */
const SILENT_AFTER_MS = 1500;
/** Milliseconds for which a silent VM is passed over unless it is heard. */
const SILENT_MS = 15_000;
/** Milliseconds between looks above which this process stood still. */
const GAP_MS = 600;

export class CoordinatorElection {
	readonly #key: string;
	readonly #vms: () => readonly string[];
	/** VMs that are passed over, since when. */
	readonly #silentSinceMs = new Map<string, number>();
	#names: readonly string[] | undefined;
	#ranks: readonly string[] = [];
	#chosen: string | undefined;
	/** When the chosen VM was last heard or chosen. */
	#aliveMs = 0;
	#lookedMs = -Infinity;

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
			this.#ranks = rankByRendezvous(this.#key, names);
		}

		// After a pause of this process the time without word says nothing of other VMs.
		const hasGap = nowMs - this.#lookedMs > GAP_MS;
		this.#lookedMs = nowMs;
		if (!isNeeded || hasGap) {
			this.#aliveMs = nowMs;
		} else if (this.#chosen !== undefined && nowMs - this.#aliveMs > SILENT_AFTER_MS) {
			this.#silentSinceMs.set(this.#chosen, nowMs);
		}

		const next = this.#ranks.find(vm => (this.#silentSinceMs.get(vm) ?? -Infinity) + SILENT_MS <= nowMs) ?? this.#ranks[0];
		if (next !== this.#chosen) {
			this.#chosen = next;
			this.#aliveMs = nowMs;
		}

		return next;
	}

	/** A VM hands over. */
	noteSteppedDown(vm: string, nowMs: number): void {
		this.#silentSinceMs.set(vm, nowMs);
	}

	/** A VM has renewed an announcement at that moment. */
	noteHeard(vm: string, renewedMs: number): void {
		// What it announced before says nothing: other VMs pass that on for a while.
		if (renewedMs > (this.#silentSinceMs.get(vm) ?? -Infinity)) {
			this.#silentSinceMs.delete(vm);
		}

		if (vm === this.#chosen) {
			this.#aliveMs = Math.max(this.#aliveMs, renewedMs);
		}
	}
}
