/**
 * Reservations that this VM requests at the model engines of a large fleet. Before a VM sends a
 * prompt, it requests a reservation from the engine's owner, the VM that keeps its ledger
 * (`owned-targets.ts`). When the owner does not reply in time, this VM places the request by its
 * own figures.
 */
import {hash32} from '../membership/rendezvous.js';
import {type RoutedService} from '../routing/types.js';
import {type TargetView} from './target-view.js';
import {type Candidate} from './target-choice.js';
import {createLineEncounters} from './line-encounters.js';
import {OwnedTargets} from './owned-targets.js';
import {type OutgoingMessage, type PeerMessage} from './peer-messages.js';
import {type Reservation, type ReservationAnswer} from './reservation.js';
import {MAX_AWAIT_MS} from './target-ledger.js';
import {type Precedence} from './start-limits.js';
import {createTargetOwners, type TargetOwners} from './target-owners.js';
import {type PlacementRequest} from './types.js';

/** Longest time for which an owner's reply is awaited, as a share of the latency target. */
const MAX_REPLY_TIMEOUT_SHARE = 0.2;
/**
 * Pause of a request after its reservation was declined, as a share of the latency target. It is
 * about a tenth of the time in which the request has to be started. Attempts at
 * four engines in a row, without a pause, take 2.7 times as many messages and have shared
 * prefixes prefilled at more engines.
 */
const PAUSE_SHARE = 0.08;
/** Bounds of that pause in milliseconds. */
const MIN_PAUSE_MS = 25;
const MAX_PAUSE_MS = 100;
/** Milliseconds after the end of a request's time in line within which the owner's reply has to arrive. */
const LINE_REPLY_MS = 60;
/** Owners of targets with lines that may decline a request before it counts as late. Lines differ little while more is asked than the targets can do. */
const MAX_MISSED_TURNS = 2;
/** Milliseconds in which a predicted wait in line decays to nothing. */
const LINE_WAIT_VALID_MS = 500;
/** Milliseconds for which the cached tokens that an owner reported of a preferred target count as valid. */
const COPYABLE_VALID_MS = 10_000;
/** Most reservation requests that are remembered after their timeout, since their replies may still arrive. */
const MAX_LATE_REPLIES = 100;
/** Most prefixes of which the cached tokens at the preferred target are remembered. */
const MAX_KNOWN_PREFIXES = 1000;

/** A request whose reservation is pending, or is granted and waits for the prefill of a shared prefix. */
type Pending = {
	readonly request: PlacementRequest;
	readonly candidate: Candidate;
	/** VM that the reservation was requested from. */
	readonly owner: string;
	readonly requestedMs: number;
	/** Present once granted, while another request prefills a shared prefix of the prompt. */
	readonly granted?: {readonly answer: ReservationAnswer; readonly startByMs: number};
	/** Present while the request is in line at the owner: since when, and until when the owner's second reply has to arrive. */
	readonly line?: {readonly sinceMs: number; readonly untilMs: number};
	readonly mayWait: boolean;
	readonly precedence: Precedence;
};

/** A request whose reservation has timed out. */
export type Overdue = Pick<Pending, 'request' | 'candidate'> & {
	readonly id: string;
	/** Whether the reservation was granted, but the message that the shared prefix is prefilled did not arrive in time. */
	readonly isGranted: boolean;
};

/** Outcome of a reservation request. */
export type ReserveResult =
	| {readonly kind: 'granted'; readonly candidate: Candidate}
	| {readonly kind: 'declined'}
	/** The owner is another VM, and `outgoing` is the request to it. */
	| {readonly kind: 'asked'; readonly outgoing: OutgoingMessage}
	/** The request is in line, or it is sent once a shared prefix of its prompt is prefilled. */
	| {readonly kind: 'waits'}
	/** All VMs that may own the target are unresponsive. */
	| {readonly kind: 'unowned'};

/** The last request that a target's owner declined. Until `untilMs`, the owner is assumed to decline all requests that need as much or more. */
type Decline = {readonly untilMs: number; readonly newTokens: number} & Pick<Precedence, 'givesWay' | 'isLate'>;

/** Reply of the owner that declined a request last, for the log. */
export type LastDecline = Omit<ReservationAnswer, 'isGranted'> & {readonly newTokens: number};

/** What was done to start a request, for the log. */
export type PlacementEffort = {
	/** Number of reservations that were requested. */
	readonly attempts: number;
	/** Milliseconds in line at owners. */
	readonly lineMs: number;
};

export const NO_EFFORT: PlacementEffort = {attempts: 0, lineMs: 0};

export type ReservationsOptions = {
	/** Name of this VM. */
	readonly vm: string;
	/** Returns the names of all VMs, this one included. */
	readonly vms: () => readonly string[];
	readonly service: () => RoutedService;
	readonly targetOf: (id: string) => TargetView | undefined;
};

export class Reservations {
	readonly #options: ReservationsOptions;
	readonly #owners: TargetOwners;
	readonly #owned: OwnedTargets;
	/** Milliseconds by which owners with lines predicted a later first token than this VM, by target. */
	readonly #lineWaits = new Map<string, {readonly ms: number; readonly atMs: number}>();
	readonly #lineEncounters = createLineEncounters();
	readonly #pending = new Map<string, Pending>();
	/** Owners and targets of granted reservations, by grant id. */
	readonly #ownersOfGrants = new Map<string, {readonly owner: string; readonly target: string}>();
	/** Last declines, by target. */
	readonly #declines = new Map<string, Decline>();
	/** Last decline of each request and the end of the pause after it, by request id. */
	readonly #requestDeclines = new Map<string, {readonly notBeforeMs: number; readonly missedTurns: number; readonly last: LastDecline}>();
	/** What was done to start each request that has not started, by request id. */
	readonly #efforts = new Map<string, {-readonly [Key in keyof PlacementEffort]: PlacementEffort[Key]}>();
	/** Times of the reservation requests whose replies are late, by grant id. */
	readonly #lateReplies = new Map<string, number>();
	/** Leading tokens of a prompt that can be copied from its preferred target, by the last of its `prefixKeys`. */
	readonly #copyable = new Map<number, {readonly tokens: number; readonly atMs: number}>();

	constructor(options: ReservationsOptions) {
		this.#options = options;
		this.#owners = createTargetOwners(options.vms);
		this.#owned = new OwnedTargets(options);
	}

	/** Whether nearly no target has a line, as the last replies of owners said. */
	hasRareLines(nowMs: number): boolean {
		return this.#lineEncounters.areRare(nowMs);
	}

	/** Whether requests are in line for any target that this VM owns. */
	get hasLines(): boolean {
		return this.#owned.hasLines;
	}

	/** Whether any request has a pending reservation. */
	get hasPending(): boolean {
		return this.#pending.size > 0;
	}

	/** Whether a target recently declined a request that needs as much as this one or less. */
	hasDeclined(target: string, {newTokens, givesWay, isLate}: Precedence & {readonly newTokens: number}, nowMs: number): boolean {
		const decline = this.#declines.get(target);
		return decline !== undefined && nowMs < decline.untilMs && newTokens >= decline.newTokens && (givesWay || !decline.givesWay) && (isLate || !decline.isLate);
	}

	/** Whether a request may be in line at an owner: another target was tried first, unless nearly all targets have a line. */
	mayWait({requestId}: PlacementRequest, {isLate}: Precedence, nowMs: number): boolean {
		return !isLate && ((this.#efforts.get(requestId)?.attempts ?? 0) > 0 || this.#lineEncounters.areUsual(nowMs));
	}

	/** Returns the milliseconds by which the owner of a target with a line lately predicted a later first token than this VM. */
	lineWaitMs(target: string, nowMs: number): number {
		const wait = this.#lineWaits.get(target);
		return wait ? Math.max(0, wait.ms * (1 - ((nowMs - wait.atMs) / LINE_WAIT_VALID_MS))) : 0;
	}

	/** Whether a request is still in the pause after a decline. */
	isPaused({requestId}: PlacementRequest, nowMs: number): boolean {
		return nowMs < (this.#requestDeclines.get(requestId)?.notBeforeMs ?? -Infinity);
	}

	/** Whether owners of several targets with lines have declined a request, so that it cannot be started in time. */
	hasMissedTurns({requestId}: PlacementRequest): boolean {
		return (this.#requestDeclines.get(requestId)?.missedTurns ?? 0) >= MAX_MISSED_TURNS;
	}

	/** Returns the milliseconds that the prefill of a request's own prompt takes, by the figures of the last decline; 0 if there is none. */
	ownPrefillMs({requestId}: PlacementRequest): number {
		const last = this.#requestDeclines.get(requestId)?.last;
		return last ? last.predictedMs * last.newTokens / Math.max(1, last.readingTokens + last.newTokens) : 0;
	}

	/** Removes what is known of a request that was started; returns what was done to start it. */
	noteStarted({requestId}: PlacementRequest): PlacementEffort {
		this.#requestDeclines.delete(requestId);
		return this.#takeEffort(requestId);
	}

	/** Removes what is known of a request that was rejected; returns its last decline and what was done to start it. */
	noteRejected(requestId: string): {readonly lastDecline: LastDecline | undefined; readonly effort: PlacementEffort} {
		const lastDecline = this.#requestDeclines.get(requestId)?.last;
		this.#requestDeclines.delete(requestId);
		return {lastDecline, effort: this.#takeEffort(requestId)};
	}

	/** Returns the leading tokens of a prompt that can be copied from its preferred target; 0 unless the owner reported them recently. */
	copyableTokens(keys: readonly number[], nowMs: number): number {
		const known = this.#copyable.get(keys.at(-1) ?? Number.NaN);
		return known && known.atMs > nowMs - COPYABLE_VALID_MS ? known.tokens : 0;
	}

	/** Requests a reservation at the candidate's target; `id` is the id of the grant that it leads to. */
	reserve(id: string, request: PlacementRequest, {candidate, precedence}: {readonly candidate: Candidate; readonly precedence: Precedence}, nowMs: number): ReserveResult {
		const {target} = candidate;
		const owner = this.#owners.ownerOf(target.record.id, nowMs);
		if (owner === undefined || !request.prompt) {
			return {kind: 'unowned'};
		}

		const {mayWait} = candidate;
		this.#effortOf(request).attempts++;
		const pending: Pending = {
			request, candidate, owner, requestedMs: nowMs, mayWait, precedence,
		};
		const wish = this.#reservationOf(id, {...pending, prompt: request.prompt}, nowMs);
		if (owner !== this.#options.vm) {
			this.#pending.set(id, pending);
			return {kind: 'asked', outgoing: {vm: owner, message: {kind: 'request', wish}}};
		}

		return this.#applyReply(id, pending, this.#owned.decide(owner, wish, nowMs), nowMs);
	}

	/** Handles an owner's reply. A grant that no request waits for any more is released. */
	onReply(from: string, {id, answer}: Extract<PeerMessage, {kind: 'answer'}>, nowMs: number): {readonly request: PlacementRequest; readonly result: ReserveResult} | OutgoingMessage | undefined {
		this.#owners.noteMessage(from, nowMs);
		this.#noteReply(id, from, nowMs);
		const pending = this.#pending.get(id);
		if (!pending) {
			// A reply may arrive twice. The second one must not release a grant that is in use.
			return answer.isGranted && !this.#ownersOfGrants.has(id)
				? {
					vm: from, message: {
						kind: 'progress', id, target: answer.target, hasEnded: true,
					},
				}
				: undefined;
		}

		this.#pending.delete(id);
		return {request: pending.request, result: this.#applyReply(id, pending, answer, nowMs)};
	}

	/** Replies to another VM's reservation request as the owner of the target; returns nothing for an unknown target. */
	onRequest(from: string, reservation: Reservation, nowMs: number): OutgoingMessage | undefined {
		return this.#options.targetOf(reservation.target)
			? {vm: from, message: {kind: 'answer', id: reservation.id, answer: this.#owned.decide(from, reservation, nowMs)}}
			: undefined;
	}

	/** Handles the first token or the end of a request at a target that this VM owns; returns the replies that follow. */
	onProgress(message: Extract<PeerMessage, {kind: 'progress'}>, nowMs: number): readonly OutgoingMessage[] {
		return this.#owned.onProgress(message, nowMs);
	}

	/** Starts the requests in line at this VM's targets that may start now; returns the replies that follow. */
	serveLines(nowMs: number): readonly OutgoingMessage[] {
		return this.#owned.serveLines(nowMs);
	}

	/** Removes and returns the requests whose reservations have timed out. */
	takeTimedOut(nowMs: number): readonly Overdue[] {
		const overdue = [...this.#pending].filter(([, {request, owner, requestedMs, granted, line}]) => nowMs >= (granted?.startByMs ?? line?.untilMs ?? requestedMs + this.#replyTimeoutMs(request, owner)));
		return overdue.map(([id, pending]) => {
			const {request, candidate, owner, granted, line} = pending;
			this.#pending.delete(id);
			// The owner may have admitted the request although its reply is late, so it is notified of the request's progress.
			this.#ownersOfGrants.set(id, {owner, target: candidate.target.record.id});
			if (!granted) {
				// An owner that has replied once may have dropped its line with the target.
				if (!line) {
					this.#owners.noteMissedReply(owner, nowMs);
				}

				this.#noteLateReply(id, pending);
				return {
					id, request, candidate, isGranted: false,
				};
			}

			return {
				id, request, candidate: withOwnerFigures(candidate, granted.answer), isGranted: true,
			};
		});
	}

	/** Cancels the pending reservations of a request; returns the messages to their owners. */
	withdraw(requestId: string): readonly OutgoingMessage[] {
		this.#requestDeclines.delete(requestId);
		this.#efforts.delete(requestId);
		return [...this.#pending].filter(([, {request}]) => request.requestId === requestId).map(([id, {owner, candidate}]) => {
			this.#pending.delete(id);
			return {
				vm: owner, message: {
					kind: 'progress', id, target: candidate.target.record.id, hasEnded: true,
				},
			};
		});
	}

	/** Records the first token or the end of a granted request; returns the messages that follow. */
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
			// The response with the first token may also have reported how fast the target works now.
			...(!hasEnded && {workPercent: Math.round(100 * (this.#options.targetOf(reserved.target)?.slowdown(nowMs) ?? 1))}),
		} as const;
		if (reserved.owner !== this.#options.vm) {
			return [{vm: reserved.owner, message}];
		}

		return this.#owned.onProgress(message, nowMs);
	}

	/** Removes the state of a target that is gone or whose cache is lost. Requests in line for it time out at once. */
	forget(target: string): void {
		this.#owned.forget(target);
		this.#lineWaits.delete(target);
		this.#declines.delete(target);
		for (const [id, pending] of this.#pending) {
			if (pending.candidate.target.record.id === target && pending.line) {
				this.#pending.set(id, {...pending, line: {...pending.line, untilMs: -Infinity}});
			}
		}
	}

	#effortOf({requestId}: PlacementRequest): {-readonly [Key in keyof PlacementEffort]: PlacementEffort[Key]} {
		const effort = this.#efforts.get(requestId) ?? {...NO_EFFORT};
		this.#efforts.set(requestId, effort);
		return effort;
	}

	#takeEffort(requestId: string): PlacementEffort {
		const effort = this.#efforts.get(requestId) ?? NO_EFFORT;
		this.#efforts.delete(requestId);
		return effort;
	}

	#reservationOf(id: string, {request, candidate, prompt, mayWait, precedence}: Pending & {readonly prompt: NonNullable<PlacementRequest['prompt']>}, nowMs: number): Reservation {
		const {team, targetLatencyMs, arrivedMs, isResumed} = request;
		const {target, keys, copiedTokens} = candidate;
		return {
			id, target: target.record.id, prompt, keys, copiedTokens, targetLatencyMs, waitedMs: nowMs - arrivedMs, isResumed, teamKey: hash32(team), mayWait, ...precedence,
		};
	}

	#applyReply(id: string, pending: Pending, answer: ReservationAnswer, nowMs: number): ReserveResult {
		const {request, candidate, owner} = pending;
		const {target, keys, newTokens} = candidate;
		if (candidate.isPrefixHolder) {
			this.#noteCopyable(keys, answer.keptTokens, nowMs);
		}

		if (!pending.precedence.isLate) {
			this.#lineEncounters.note(answer.hasLine, nowMs);
		}

		if (answer.hasLine && !answer.isGranted) {
			this.#lineWaits.set(target.record.id, {ms: Math.max(0, answer.predictedMs - candidate.figures.predictedMs), atMs: nowMs});
		} else {
			this.#lineWaits.delete(target.record.id);
		}

		if (answer.queuedMs > 0) {
			this.#pending.set(id, {...pending, line: {sinceMs: nowMs, untilMs: nowMs + Math.min(answer.queuedMs, request.targetLatencyMs) + LINE_REPLY_MS}});
			return {kind: 'waits'};
		}

		if (pending.line) {
			this.#effortOf(request).lineMs += nowMs - pending.line.sinceMs;
		}

		if (answer.startAfterMs > 0) {
			this.#pending.set(id, {...pending, granted: {answer, startByMs: nowMs + Math.min(MAX_AWAIT_MS, answer.startAfterMs)}});
			return {kind: 'waits'};
		}

		if (answer.isGranted) {
			this.#ownersOfGrants.set(id, {owner, target: target.record.id});
			return {kind: 'granted', candidate: withOwnerFigures(candidate, answer)};
		}

		const {givesWay, isLate} = pending.precedence;
		this.#declines.set(target.record.id, {
			untilMs: nowMs + answer.retryAfterMs, newTokens, givesWay, isLate,
		});
		// The first decline sends the request to another target at once, where it may be put in line.
		const pauseMs = pending.mayWait || isLate ? Math.min(MAX_PAUSE_MS, Math.max(MIN_PAUSE_MS, request.targetLatencyMs * PAUSE_SHARE)) : 0;
		const missedTurns = (this.#requestDeclines.get(request.requestId)?.missedTurns ?? 0) + Number(pending.mayWait && answer.hasLine);
		this.#requestDeclines.set(request.requestId, {notBeforeMs: nowMs + pauseMs, missedTurns, last: {...answer, newTokens}});
		return {kind: 'declined'};
	}

	#replyTimeoutMs({targetLatencyMs}: PlacementRequest, owner: string): number {
		return Math.min(targetLatencyMs * MAX_REPLY_TIMEOUT_SHARE, this.#owners.replyTimeoutMs(owner));
	}

	#noteReply(id: string, from: string, nowMs: number): void {
		const pending = this.#pending.get(id);
		const requestedMs = pending && !pending.granted ? pending.requestedMs : this.#lateReplies.get(id);
		this.#lateReplies.delete(id);
		if (requestedMs !== undefined) {
			this.#owners.noteReply(from, nowMs - requestedMs);
		}
	}

	/** Remembers when the reservation was requested, since a late reply also shows the owner's reply time. */
	#noteLateReply(id: string, {requestedMs}: Pending): void {
		this.#lateReplies.set(id, requestedMs);
		if (this.#lateReplies.size > MAX_LATE_REPLIES) {
			const [oldest] = this.#lateReplies.keys();
			this.#lateReplies.delete(oldest ?? id);
		}
	}

	#noteCopyable(keys: readonly number[], tokens: number, nowMs: number): void {
		const key = keys.at(-1);
		if (key === undefined) {
			return;
		}

		this.#copyable.delete(key);
		this.#copyable.set(key, {tokens, atMs: nowMs});
		if (this.#copyable.size > MAX_KNOWN_PREFIXES) {
			const [oldest] = this.#copyable.keys();
			this.#copyable.delete(oldest ?? key);
		}
	}
}

/** Returns a candidate in which the owner's figures replace this VM's estimates. */
const withOwnerFigures = (candidate: Candidate, {keptTokens, predictedMs, running}: ReservationAnswer): Candidate => {
	const needsCopy = candidate.copiedTokens > keptTokens;
	const known = needsCopy ? candidate.copiedTokens : keptTokens;
	return {
		...candidate,
		newTokens: Math.max(0, candidate.promptTokens - known),
		figures: {
			...candidate.figures, predictedMs, keptTokens: known, othersRunning: running, copyFrom: needsCopy ? candidate.figures.copyFrom : undefined,
		},
	};
};
