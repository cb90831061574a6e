/**
 * Which VM keeps the ledger of a target: the first by rendezvous hashing that is not silent.
 * VMs that know different lists agree on most targets; where they do not, two ledgers hold
 * a part of the requests each, which costs some late answers and breaks nothing.
 */
import {rankByRendezvous} from '../membership/rendezvous.js';

/** VMs by rank that are tried for a target. */
const RANKS = 3;
/** Milliseconds for which a VM that did not answer is passed over. */
const SILENT_MS = 2000;

export type TargetOwners = {
	/** Undefined when the VMs of the first ranks are all silent. */
	readonly ownerOf: (target: string, nowMs: number) => string | undefined;
	readonly noteSilent: (vm: string, nowMs: number) => void;
	readonly noteHeard: (vm: string) => void;
};

const areSame = (a: readonly string[], b: readonly string[]): boolean =>
	a === b || (a.length === b.length && a.every((name, index) => name === b[index]));

/** @param vms - Names of all VMs, this one included; the same array while nothing was looked up. */
export const createTargetOwners = (vms: () => readonly string[]): TargetOwners => {
	let names: readonly string[] = [];
	let ranked = new Map<string, readonly string[]>();
	const silentUntilMs = new Map<string, number>();

	const refresh = (): void => {
		const current = vms();
		if (!areSame(current, names)) {
			ranked = new Map();
		}

		names = current;
	};

	const ranksOf = (target: string): readonly string[] => {
		refresh();
		const known = ranked.get(target);
		if (known) {
			return known;
		}

		const ranks = rankByRendezvous(target, names).slice(0, RANKS);
		ranked.set(target, ranks);
		return ranks;
	};

	return {
		ownerOf: (target, nowMs) => ranksOf(target).find(vm => (silentUntilMs.get(vm) ?? -Infinity) <= nowMs),
		noteSilent(vm, nowMs) {
			silentUntilMs.set(vm, nowMs + SILENT_MS);
		},
		noteHeard(vm) {
			silentUntilMs.delete(vm);
		},
	};
};
