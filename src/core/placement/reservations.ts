/**
 * Reservations at model engines of a large fleet, as one VM makes and grants them. Before a
 * prompt is sent, the VM that owns the engine's ledger is asked; a VM that does not answer
 * in time is passed over, and the request is placed on what is known here.
 */
import {type RoutedService} from '../routing/types.js';
import {type TargetView} from './target-view.js';
import {type Candidate} from './target-choice.js';
import {
	MAX_AWAIT_MS, TargetLedger, type ReservationAnswer, type Reservation,
} from './target-ledger.js';
import {createTargetOwners, type TargetOwners} from './target-owners.js';
import {type PlacementRequest} from './types.js';

/** Part of the latency target for which an owner's answer is waited for at the most. */
const ANSWER_SHARE = 0.2;
/**
 * Part of the latency target for which a request waits after an engine declined it, and its
 * bounds in milliseconds: a tenth of the time that it has. In the replay, asking four engines
 * in a row made 2.7 times as many messages and had shared parts prefilled at more engines.
 */
const PAUSE_SHARE = 0.08;
const MIN_PAUSE_MS = 25;
const MAX_PAUSE_MS = 100;
/** Milliseconds for which a home is taken to keep what its owner told of. */
const COPYABLE_MS = 10_000;
/** Answers that are late and may still come. */
const MAX_MISSED = 100;
/** Prompts of which it is remembered what their home keeps. */
const MAX_KNOWN_PROMPTS = 1000;

/** What VMs tell each other of reservations. */
export type PeerMessage =
	| {readonly kind: 'request'; readonly wish: Reservation}
	| {readonly kind: 'answer'; readonly id: string; readonly answer: ReservationAnswer}
	| {readonly kind: 'progress'; readonly id: string; readonly target: string; readonly hasEnded: boolean; readonly workPercent?: number};

export type OutgoingMessage = {readonly vm: string; readonly message: PeerMessage};

/** A request whose reservation has not been answered. */
type Pending = {
	readonly ask: PlacementRequest;
	readonly candidate: Candidate;
	readonly owner: string;
	readonly askedMs: number;
	/** Present once granted, while a shared part of the prompt is being prefilled. */
	readonly granted?: {readonly answer: ReservationAnswer; readonly startByMs: number};
};

/** A request that waits no longer for what owners say. */
export type Overdue = Pick<Pending, 'ask' | 'candidate'> & {
	readonly id: string;
	/** Whether it was granted, and the word that a shared part was prefilled did not come in time. */
	readonly isGranted: boolean;
};

/** What became of a wish for room. */
export type ReserveResult =
	| {readonly kind: 'granted'; readonly candidate: Candidate}
	| {readonly kind: 'declined'}
	| {readonly kind: 'asked'; readonly outgoing: OutgoingMessage}
	/** It has room, and is sent when a shared part of it has been prefilled. */
	| {readonly kind: 'waits'}
	/** No owner is in reach. */
	| {readonly kind: 'unowned'};

type Closed = {readonly untilMs: number; readonly newTokens: number; readonly givesWay: boolean};

/** What the last owner that declined a request said, for the log. */
export type LastDecline = Omit<ReservationAnswer, 'isGranted'> & {readonly newTokens: number};

export type ReservationsOptions = {
	readonly vm: string;
	readonly vms: () => readonly string[];
	readonly service: () => RoutedService;
	readonly targetOf: (id: string) => TargetView | undefined;
};

export class Reservations {
	readonly #options: ReservationsOptions;
	readonly #owners: TargetOwners;
	readonly #ledgers = new Map<string, TargetLedger>();
	readonly #pending = new Map<string, Pending>();
	/** Owners of granted reservations, by grant. */
	readonly #ownersOfGrants = new Map<string, {readonly owner: string; readonly target: string}>();
	readonly #closed = new Map<string, Closed>();
	/** The end of the pause after the last decline, by request. */
	readonly #tries = new Map<string, {readonly notBeforeMs: number; readonly last: LastDecline}>();
	/** When requests were asked for whose answers are late, by grant. */
	readonly #missed = new Map<string, number>();
	/** VMs whose requests wait for a shared part, by grant. */
	readonly #askers = new Map<string, {readonly vm: string; readonly target: string}>();
	/** Leading tokens that the home of a prompt can pass on, by the last of its `sharedKeys`. */
	readonly #copyable = new Map<number, {readonly tokens: number; readonly atMs: number}>();

	constructor(options: ReservationsOptions) {
		this.#options = options;
		this.#owners = createTargetOwners(options.vms);
	}

	/** Whether requests wait for an answer. */
	get isWaiting(): boolean {
		return this.#pending.size > 0;
	}

	/** Whether a target declined a request like this one a moment ago. */
	hasDeclined(target: string, {newTokens, givesWay}: {readonly newTokens: number; readonly givesWay: boolean}, nowMs: number): boolean {
		const closed = this.#closed.get(target);
		return closed !== undefined && nowMs < closed.untilMs && newTokens >= closed.newTokens && (givesWay || !closed.givesWay);
	}

	/** Whether a request was declined a moment ago. */
	isPaused({requestId}: PlacementRequest, nowMs: number): boolean {
		return nowMs < (this.#tries.get(requestId)?.notBeforeMs ?? -Infinity);
	}

	/** Milliseconds that a request's own prompt takes to read, going by the last owner that declined it. */
	ownPrefillMs({requestId}: PlacementRequest): number {
		const last = this.#tries.get(requestId)?.last;
		return last ? last.predictedMs * last.newTokens / Math.max(1, last.readingTokens + last.newTokens) : 0;
	}

	/** Forgets a request that was started. */
	noteStarted({requestId}: PlacementRequest): void {
		this.#tries.delete(requestId);
	}

	/** What the last owner that declined a request said; the request is forgotten. */
	takeLastDecline(requestId: string): LastDecline | undefined {
		const last = this.#tries.get(requestId)?.last;
		this.#tries.delete(requestId);
		return last;
	}

	/** Tokens of a prompt that its home can pass on; none unless its owner told lately. */
	copyableTokens(keys: readonly number[], nowMs: number): number {
		const known = this.#copyable.get(keys.at(-1) ?? Number.NaN);
		return known && known.atMs > nowMs - COPYABLE_MS ? known.tokens : 0;
	}

	/** Asks for room; `id` is that of the grant to come. */
	reserve(id: string, ask: PlacementRequest, candidate: Candidate, nowMs: number): ReserveResult {
		const {target} = candidate;
		const owner = this.#owners.ownerOf(target.record.id, nowMs);
		if (owner === undefined || !ask.prompt) {
			return {kind: 'unowned'};
		}

		const wish = this.#wishOf(id, {...ask, prompt: ask.prompt}, candidate, nowMs);
		if (owner !== this.#options.vm) {
			this.#pending.set(id, {
				ask, candidate, owner, askedMs: nowMs,
			});
			return {kind: 'asked', outgoing: {vm: owner, message: {kind: 'request', wish}}};
		}

		const answer = this.#answer(owner, wish, nowMs);
		return this.#take(id, {
			ask, candidate, owner, askedMs: nowMs,
		}, answer, nowMs);
	}

	/** Takes in an owner's answer. Room that nobody waits for any more is given back. */
	onAnswer(from: string, {id, answer}: Extract<PeerMessage, {kind: 'answer'}>, nowMs: number): {readonly ask: PlacementRequest; readonly result: ReserveResult} | OutgoingMessage | undefined {
		this.#owners.noteHeard(from, nowMs);
		this.#noteAnswered(id, from, nowMs);
		const pending = this.#pending.get(id);
		if (!pending) {
			// An answer that comes twice is no second grant.
			return answer.isGranted && !this.#ownersOfGrants.has(id)
				? {
					vm: from, message: {
						kind: 'progress', id, target: answer.target, hasEnded: true,
					},
				}
				: undefined;
		}

		this.#pending.delete(id);
		return {ask: pending.ask, result: this.#take(id, pending, answer, nowMs)};
	}

	/** Answers another VM's wish as the owner. */
	onRequest(from: string, wish: Reservation, nowMs: number): OutgoingMessage | undefined {
		return this.#options.targetOf(wish.target)
			? {vm: from, message: {kind: 'answer', id: wish.id, answer: this.#answer(from, wish, nowMs)}}
			: undefined;
	}

	/** Takes in what became of a grant; returns the answers to requests that waited for its prompt, which may be requests of this VM. */
	onProgress({id, target, hasEnded, workPercent}: Extract<PeerMessage, {kind: 'progress'}>, nowMs: number): readonly OutgoingMessage[] {
		const ledger = this.#ledgers.get(target);
		this.#options.targetOf(target)?.noteWork(workPercent, nowMs);
		if (hasEnded) {
			this.#askers.delete(id);
			ledger?.noteEnded(id, nowMs);
		} else {
			ledger?.noteStarted(id, nowMs);
		}

		return ledger ? this.#released(ledger, nowMs) : [];
	}

	/** Takes out the requests whose owners did not answer in time. */
	takeOverdue(nowMs: number): readonly Overdue[] {
		const overdue = [...this.#pending].filter(([, {ask, owner, askedMs, granted}]) => nowMs >= (granted?.startByMs ?? askedMs + this.#answerMs(ask, owner)));
		return overdue.map(([id, pending]) => {
			const {ask, candidate, owner, granted} = pending;
			this.#pending.delete(id);
			// Should its answer still come, the request is in the owner's ledger.
			this.#ownersOfGrants.set(id, {owner, target: candidate.target.record.id});
			if (!granted) {
				this.#owners.noteMissed(owner, nowMs);
				this.#noteMissed(id, pending);
				return {
					id, ask, candidate, isGranted: false,
				};
			}

			return {
				id, ask, candidate: withKept(candidate, granted.answer), isGranted: true,
			};
		});
	}

	/** Notes that a request is no longer waited for; returns what owners have to hear. */
	withdraw(requestId: string): readonly OutgoingMessage[] {
		this.#tries.delete(requestId);
		return [...this.#pending].filter(([, {ask}]) => ask.requestId === requestId).map(([id, {owner, candidate}]) => {
			this.#pending.delete(id);
			return {
				vm: owner, message: {
					kind: 'progress', id, target: candidate.target.record.id, hasEnded: true,
				},
			};
		});
	}

	/** The first token of a grant came, or it ended. */
	noteProgress(grantId: string, hasEnded: boolean, nowMs: number): readonly OutgoingMessage[] {
		const reserved = this.#ownersOfGrants.get(grantId);
		if (!reserved) {
			return [];
		}

		if (hasEnded) {
			this.#ownersOfGrants.delete(grantId);
		}

		const message = {
			kind: 'progress', id: grantId, target: reserved.target, hasEnded,
			// Word of a first token comes with the answer that told it.
			...(!hasEnded && {workPercent: Math.round(100 * (this.#options.targetOf(reserved.target)?.slowdown(nowMs) ?? 1))}),
		} as const;
		if (reserved.owner !== this.#options.vm) {
			return [{vm: reserved.owner, message}];
		}

		return this.onProgress(message, nowMs);
	}

	/** Forgets a target that is gone or lost its memory. */
	forget(target: string): void {
		this.#ledgers.delete(target);
		this.#closed.delete(target);
		for (const [id, asker] of this.#askers) {
			if (asker.target === target) {
				this.#askers.delete(id);
			}
		}
	}

	#wishOf(id: string, ask: PlacementRequest & {readonly prompt: NonNullable<PlacementRequest['prompt']>}, {target, keys, copiedTokens, reason}: Candidate, nowMs: number): Reservation {
		const {prompt, targetLatencyMs, arrivedMs, isResumed} = ask;
		return {
			id, target: target.record.id, prompt, keys, copiedTokens, targetLatencyMs, waitedMs: nowMs - arrivedMs, givesWay: reason.givesWay, isResumed,
		};
	}

	#answer(from: string, wish: Reservation, nowMs: number): ReservationAnswer {
		const {service, targetOf} = this.#options;
		const target = targetOf(wish.target);
		const ledger = this.#ledgers.get(wish.target)
			?? new TargetLedger(wish.target, {capacityTokens: () => service().engine?.kvCapacityTokens ?? 0, nowMs});
		this.#ledgers.set(wish.target, ledger);
		const answer = ledger.reserve(wish, {
			service: service(), slots: target?.record.slots ?? 0, observedRunning: target ? target.running + target.othersRunning(nowMs) : 0, slowdown: target?.slowdown(nowMs) ?? 1, nowMs,
		});
		if (answer.startAfterMs > 0) {
			this.#askers.set(wish.id, {vm: from, target: wish.target});
		}

		return answer;
	}

	#released(ledger: TargetLedger, nowMs: number): readonly OutgoingMessage[] {
		return [...ledger.takeReleased(nowMs)].flatMap(([id, answer]) => {
			const vm = this.#askers.get(id)?.vm;
			this.#askers.delete(id);
			return vm === undefined ? [] : [{vm, message: {kind: 'answer', id, answer}} as const];
		});
	}

	#take(id: string, pending: Pending, answer: ReservationAnswer, nowMs: number): ReserveResult {
		const {ask, candidate, owner} = pending;
		const {target, keys, newTokens} = candidate;
		if (candidate.isHome) {
			this.#noteCopyable(keys, answer.keptTokens, nowMs);
		}

		if (answer.startAfterMs > 0) {
			this.#pending.set(id, {...pending, granted: {answer, startByMs: nowMs + Math.min(MAX_AWAIT_MS, answer.startAfterMs)}});
			return {kind: 'waits'};
		}

		if (answer.isGranted) {
			this.#ownersOfGrants.set(id, {owner, target: target.record.id});
			return {kind: 'granted', candidate: withKept(candidate, answer)};
		}

		this.#closed.set(target.record.id, {untilMs: nowMs + answer.retryAfterMs, newTokens, givesWay: candidate.reason.givesWay});
		const pauseMs = Math.min(MAX_PAUSE_MS, Math.max(MIN_PAUSE_MS, ask.targetLatencyMs * PAUSE_SHARE));
		this.#tries.set(ask.requestId, {notBeforeMs: nowMs + pauseMs, last: {...answer, newTokens}});
		return {kind: 'declined'};
	}

	#answerMs({targetLatencyMs}: PlacementRequest, owner: string): number {
		return Math.min(targetLatencyMs * ANSWER_SHARE, this.#owners.answerMs(owner));
	}

	#noteAnswered(id: string, from: string, nowMs: number): void {
		const pending = this.#pending.get(id);
		const askedMs = pending && !pending.granted ? pending.askedMs : this.#missed.get(id);
		this.#missed.delete(id);
		if (askedMs !== undefined) {
			this.#owners.noteAnswered(from, nowMs - askedMs);
		}
	}

	/** Late answers tell too what their owner needs. */
	#noteMissed(id: string, {askedMs}: Pending): void {
		this.#missed.set(id, askedMs);
		if (this.#missed.size > MAX_MISSED) {
			const [oldest] = this.#missed.keys();
			this.#missed.delete(oldest ?? id);
		}
	}

	#noteCopyable(keys: readonly number[], tokens: number, nowMs: number): void {
		const key = keys.at(-1);
		if (key === undefined) {
			return;
		}

		this.#copyable.delete(key);
		this.#copyable.set(key, {tokens, atMs: nowMs});
		if (this.#copyable.size > MAX_KNOWN_PROMPTS) {
			const [oldest] = this.#copyable.keys();
			this.#copyable.delete(oldest ?? key);
		}
	}
}

/** A candidate with what the owner knows in place of what was assumed. */
const withKept = (candidate: Candidate, {keptTokens, predictedMs, running}: ReservationAnswer): Candidate => {
	const needsCopy = candidate.copiedTokens > keptTokens;
	const known = needsCopy ? candidate.copiedTokens : keptTokens;
	return {
		...candidate,
		newTokens: Math.max(0, candidate.promptTokens - known),
		reason: {
			...candidate.reason, predictedMs, keptTokens: known, othersRunning: running, copyFrom: needsCopy ? candidate.reason.copyFrom : undefined,
		},
	};
};
