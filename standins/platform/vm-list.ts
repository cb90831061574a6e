/** List of VMs that is outdated by a set time, like the platform's. */
import {type Vm} from './settings.js';

type Version = {readonly sinceMs: number; readonly vms: readonly Vm[]};

export class VmList {
	#versions: readonly Version[] = [{sinceMs: Number.NEGATIVE_INFINITY, vms: []}];

	readonly #lagMs: number;

	constructor(lagMs: number) {
		this.#lagMs = lagMs;
	}

	change(put: readonly Vm[], removeIds: readonly string[], nowMs: number): void {
		const replacedIds = new Set([...removeIds, ...put.map(({id}) => id)]);
		const kept = this.#versions.at(-1)?.vms.filter(({id}) => !replacedIds.has(id)) ?? [];
		const shown = this.#shownIndex(nowMs);
		this.#versions = [...this.#versions.slice(shown), {sinceMs: nowMs, vms: [...kept, ...put]}];
	}

	/** Returns the list as it was `lagMs` ago. */
	shown(nowMs: number): readonly Vm[] {
		return this.#versions[this.#shownIndex(nowMs)]?.vms ?? [];
	}

	#shownIndex(nowMs: number): number {
		return Math.max(0, this.#versions.findLastIndex(({sinceMs}) => sinceMs <= nowMs - this.#lagMs));
	}
}
