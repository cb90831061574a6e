/**
 * Which VM keeps the ledger of a target: the first by rendezvous hashing that is not silent.
 * VMs that know different lists agree on most targets; where they do not, two ledgers hold
 * a part of the requests each, which costs some late answers and breaks nothing.
 *
 * Load pattern: VMs of a third of a CPU, whose event loop turns come late. An owner that is
 * taken for silent while it answers has its engines counted in two ledgers, so that each is
 * given twice what it can prefill; waiting for a dead one costs some requests some time. So
 * the time allowed follows what the owner usually needs, and one late answer is not silence.
 */
import {rankByRendezvous} from '../membership/rendezvous.js';

/** VMs by rank that are tried for a target. */
const RANKS = 3;
/** Milliseconds for which a VM that did not answer is passed over. */
const SILENT_MS = 2000;
/** Bounds in milliseconds of the time within which an owner answers: two ways and some turns of event loops; and what a request can spare. */
const MIN_ANSWER_MS = 60;
const MAX_ANSWER_MS = 150;
/** Times an owner's usual answer time that are allowed, since answer times of a busy event loop vary by as much as their mean. */
const ANSWER_FACTOR = 4;
/** Weight of one answer in the usual answer time. */
const ANSWER_WEIGHT = 0.1;
/** Answers in a row that are missing, and milliseconds without any message of the VM, from which it is silent. */
const SILENT_MISSES = 2;
const UNHEARD_MS = 300;
/** Answer time in milliseconds that is assumed of an owner that was not asked before: that of a VM of a third of a CPU. With 10, three times as many requests of the replay were late. */
const INITIAL_ANSWER_MS = 25;

export type TargetOwners = {
	/** Undefined when the VMs of the first ranks are all silent. */
	readonly ownerOf: (target: string, nowMs: number) => string | undefined;
	/** Milliseconds within which a VM is expected to answer. */
	readonly answerMs: (vm: string) => number;
	/** An answer did not come in time. */
	readonly noteMissed: (vm: string, nowMs: number) => void;
	/** A message of the VM came. */
	readonly noteHeard: (vm: string, nowMs: number) => void;
	/** An answer came after `ms`, in time or not. */
	readonly noteAnswered: (vm: string, ms: number) => void;
};

/** How a VM has answered. */
type Record = {
	readonly usualMs: number;
	/** Answers in a row that did not come in time. */
	readonly missed: number;
	readonly heardMs: number;
	readonly silentUntilMs: number;
};

const UNKNOWN: Record = {
	usualMs: INITIAL_ANSWER_MS, missed: 0, heardMs: -Infinity, silentUntilMs: -Infinity,
};

const areSame = (a: readonly string[], b: readonly string[]): boolean =>
	a === b || (a.length === b.length && a.every((name, index) => name === b[index]));

/** @param vms - Names of all VMs, this one included; the same array while nothing was looked up. */
export const createTargetOwners = (vms: () => readonly string[]): TargetOwners => {
	let names: readonly string[] = [];
	let ranked = new Map<string, readonly string[]>();
	const records = new Map<string, Record>();
	const recordOf = (vm: string): Record => records.get(vm) ?? UNKNOWN;
	const change = (vm: string, changes: Partial<Record>): void => {
		records.set(vm, {...recordOf(vm), ...changes});
	};

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
		ownerOf: (target, nowMs) => ranksOf(target).find(vm => recordOf(vm).silentUntilMs <= nowMs),
		answerMs: vm => Math.min(MAX_ANSWER_MS, Math.max(MIN_ANSWER_MS, recordOf(vm).usualMs * ANSWER_FACTOR)),
		noteMissed(vm, nowMs) {
			const {missed, heardMs} = recordOf(vm);
			const isSilent = missed + 1 >= SILENT_MISSES && heardMs < nowMs - UNHEARD_MS;
			change(vm, {missed: missed + 1, ...(isSilent && {silentUntilMs: nowMs + SILENT_MS})});
		},
		noteHeard(vm, nowMs) {
			change(vm, {missed: 0, heardMs: nowMs, silentUntilMs: -Infinity});
		},
		noteAnswered(vm, ms) {
			const {usualMs} = recordOf(vm);
			change(vm, {usualMs: usualMs + ((ms - usualMs) * ANSWER_WEIGHT)});
		},
	};
};
