/**
 * Chooses the owner of a target: the VM that keeps its reservation ledger, which is the
 * first responsive one by rendezvous hashing. VMs that know different lists of VMs agree on
 * most targets. Where they do not, two ledgers hold a part of the requests each, which makes
 * some responses late and has no other effect.
 *
 * Load pattern: VMs with a third of a CPU, whose event-loop iterations are late. If an owner
 * is treated as unresponsive although it replies, its engines are counted in two ledgers, and
 * each engine is given twice what it can prefill; waiting for a dead owner only delays some
 * requests. So the timeout follows the owner's typical reply time, and a single late reply
 * does not make the owner unresponsive.
 */
import {rankByRendezvous} from '../membership/rendezvous.js';

/** Number of VMs, best rank first, that may own a target. */
const RANKS = 3;
/** Milliseconds for which an unresponsive VM is skipped. */
const SILENT_MS = 2000;
/** Least timeout of an owner's reply in milliseconds: network latency in both directions, and some event-loop iterations. */
const MIN_ANSWER_MS = 60;
/** Largest timeout of an owner's reply in milliseconds: the time that a request can spare. */
const MAX_ANSWER_MS = 150;
/** Timeout as a multiple of the owner's typical reply time, since reply times of a busy event loop vary by as much as their mean. */
const ANSWER_FACTOR = 4;
/** Weight of one reply in the typical reply time. */
const ANSWER_WEIGHT = 0.1;
/** Missing replies in a row from which a VM is unresponsive, if it has sent no other message for `UNHEARD_MS`. */
const SILENT_MISSES = 2;
/** Milliseconds without any message of a VM before missing replies make it unresponsive. */
const UNHEARD_MS = 300;
/** Reply time in milliseconds that is assumed of an owner before its first reply: that of a VM with a third of a CPU. With 10, three times as many requests were late in a replay. */
const INITIAL_ANSWER_MS = 25;

export type TargetOwners = {
	/** Returns the owner of a target; undefined when all VMs that may own it are unresponsive. */
	readonly ownerOf: (target: string, nowMs: number) => string | undefined;
	/** Returns the milliseconds within which a VM has to reply. */
	readonly answerMs: (vm: string) => number;
	/** Records that a reply did not arrive in time. */
	readonly noteMissed: (vm: string, nowMs: number) => void;
	/** Records that a message of the VM arrived. */
	readonly noteHeard: (vm: string, nowMs: number) => void;
	/** Records that a reply arrived after `ms`, in time or not. */
	readonly noteAnswered: (vm: string, ms: number) => void;
};

/** How a VM has replied so far. */
type Record = {
	/** Typical reply time in milliseconds. */
	readonly usualMs: number;
	/** Replies in a row that did not arrive in time. */
	readonly missed: number;
	readonly heardMs: number;
	readonly silentUntilMs: number;
};

const UNKNOWN: Record = {
	usualMs: INITIAL_ANSWER_MS, missed: 0, heardMs: -Infinity, silentUntilMs: -Infinity,
};

const areSame = (a: readonly string[], b: readonly string[]): boolean =>
	a === b || (a.length === b.length && a.every((name, index) => name === b[index]));

/** @param vms - Returns the names of all VMs, this one included; the same array until the list is read again. */
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
