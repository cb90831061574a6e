/**
 * Chooses the owner of a target: the VM that keeps its reservation ledger, which is the
 * first responsive one by rendezvous hashing. VMs that know different lists of VMs agree on
 * most targets. Where they do not, each of two ledgers holds some of the requests, which
 * makes some responses late and has no other effect.
 *
 * Load pattern: VMs with a third of a CPU, whose event-loop iterations, and thus replies, are
 * late. If an owner is treated as unresponsive although it replies, its engines are counted in
 * two ledgers, and each engine is given twice what it can prefill; waiting for a dead owner
 * only delays some requests. So the timeout follows the owner's typical reply time, and a
 * single late reply does not make the owner unresponsive.
 */
import {rankByRendezvous} from '../membership/rendezvous.js';

/** Number of VMs, best rank first, that may own a target. */
const MAX_CANDIDATES = 3;
/** Milliseconds for which an unresponsive VM is skipped. */
const UNRESPONSIVE_MS = 2000;
/** Least timeout of an owner's reply in milliseconds: network latency in both directions, and some event-loop iterations. */
const MIN_REPLY_TIMEOUT_MS = 60;
/** Largest timeout of an owner's reply in milliseconds: the time that a request can spare. */
const MAX_REPLY_TIMEOUT_MS = 150;
/** Timeout as a multiple of the owner's typical reply time. It leaves a wide margin, since the reply times of a busy VM vary by as much as their mean. */
const REPLY_TIMEOUT_FACTOR = 4;
/** Weight of one reply in the typical reply time. */
const REPLY_WEIGHT = 0.1;
/** Missed replies in a row from which a VM is unresponsive, if it has sent no other message for `NO_MESSAGE_MS`. */
const MIN_MISSED_REPLIES = 2;
/** Milliseconds without any message of a VM before missed replies make it unresponsive. */
const NO_MESSAGE_MS = 300;
/** Reply time in milliseconds that is assumed of an owner before its first reply: that of a VM with a third of a CPU. With 10 ms, the first timeouts of such VMs would be too short, and three times as many requests would be late. */
const INITIAL_REPLY_MS = 25;

export type TargetOwners = {
	/** Returns the owner of a target; undefined when all VMs that may own it are unresponsive. */
	readonly ownerOf: (target: string, nowMs: number) => string | undefined;
	/** Returns the milliseconds within which a VM has to reply. */
	readonly replyTimeoutMs: (vm: string) => number;
	/** Records that a reply did not arrive in time. */
	readonly noteMissedReply: (vm: string, nowMs: number) => void;
	/** Records that a message of the VM arrived. */
	readonly noteMessage: (vm: string, nowMs: number) => void;
	/** Records that a reply arrived after `ms`, in time or not. */
	readonly noteReply: (vm: string, ms: number) => void;
};

/** How a VM has replied so far, with times on the monotonic clock. */
type VmHistory = {
	/** Exponentially weighted mean of its reply times, in milliseconds. */
	readonly typicalReplyMs: number;
	/** Replies in a row that did not arrive in time. */
	readonly missedReplies: number;
	readonly lastMessageMs: number;
	readonly skipUntilMs: number;
};

const NO_HISTORY: VmHistory = {
	typicalReplyMs: INITIAL_REPLY_MS, missedReplies: 0, lastMessageMs: -Infinity, skipUntilMs: -Infinity,
};

const haveSameItems = (a: readonly string[], b: readonly string[]): boolean =>
	a === b || (a.length === b.length && a.every((name, index) => name === b[index]));

/** @param vms - Returns the names of all VMs, this one included; the same array until the list is read again. */
export const createTargetOwners = (vms: () => readonly string[]): TargetOwners => {
	let names: readonly string[] = [];
	let candidates = new Map<string, readonly string[]>();
	const histories = new Map<string, VmHistory>();
	const historyOf = (vm: string): VmHistory => histories.get(vm) ?? NO_HISTORY;
	const updateHistory = (vm: string, changes: Partial<VmHistory>): void => {
		histories.set(vm, {...historyOf(vm), ...changes});
	};

	const refresh = (): void => {
		const current = vms();
		if (!haveSameItems(current, names)) {
			candidates = new Map();
		}

		names = current;
	};

	const candidatesOf = (target: string): readonly string[] => {
		refresh();
		const known = candidates.get(target);
		if (known) {
			return known;
		}

		const ranked = rankByRendezvous(target, names).slice(0, MAX_CANDIDATES);
		candidates.set(target, ranked);
		return ranked;
	};

	return {
		ownerOf: (target, nowMs) => candidatesOf(target).find(vm => historyOf(vm).skipUntilMs <= nowMs),
		replyTimeoutMs: vm => Math.min(MAX_REPLY_TIMEOUT_MS, Math.max(MIN_REPLY_TIMEOUT_MS, historyOf(vm).typicalReplyMs * REPLY_TIMEOUT_FACTOR)),
		noteMissedReply(vm, nowMs) {
			const {missedReplies, lastMessageMs} = historyOf(vm);
			const isUnresponsive = missedReplies + 1 >= MIN_MISSED_REPLIES && lastMessageMs < nowMs - NO_MESSAGE_MS;
			updateHistory(vm, {missedReplies: missedReplies + 1, ...(isUnresponsive && {skipUntilMs: nowMs + UNRESPONSIVE_MS})});
		},
		noteMessage(vm, nowMs) {
			updateHistory(vm, {missedReplies: 0, lastMessageMs: nowMs, skipUntilMs: -Infinity});
		},
		noteReply(vm, ms) {
			const {typicalReplyMs} = historyOf(vm);
			updateHistory(vm, {typicalReplyMs: typicalReplyMs + ((ms - typicalReplyMs) * REPLY_WEIGHT)});
		},
	};
};
