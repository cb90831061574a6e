/**
 * Reservation ledger of one model engine, kept by the VM that owns the engine: which prompts
 * were admitted, how many of their tokens are not prefilled yet, and which parts of them the
 * engine has cached.
 *
 * Load pattern: large fleets, where many VMs with a small share of the requests each send to
 * the same engine before its load reports reach them. An engine prefills only a few large
 * prompts within the latency target, so even two VMs that choose it at the same moment make
 * both requests late.
 *
 * Prompts of one team arrive together and share long prefixes. An engine that receives a
 * prompt while its shared prefix is being prefilled prefills the prefix once more. The ledger
 * therefore reserves capacity for such a prompt and has it sent once the prefix is prefilled.
 */
import {type RoutedService} from '../routing/types.js';
import {createPrefixCacheEstimate, sentPromptOf, type PrefixCacheEstimate} from './prefix-cache-estimate.js';
import {ALL_PROMPTS_KNOWN, createPrefillRate, type PrefillRate} from './prefill-rate.js';
import {type Reservation, type ReservationAnswer} from './reservation.js';
import {startWithinMs} from './reservation-line.js';
import {hasCapacity, startsInTime, type StartPrediction} from './start-limits.js';
import {slowedMs} from './target-speed.js';

/** Milliseconds after its admission for which a request counts when its end is not reported: longer than a latency target and the longest stream. */
const ENTRY_EXPIRY_MS = 20_000;
/** Bounds in milliseconds of the time after which a declined request may be admitted. */
const MIN_RETRY_MS = 15;
const MAX_RETRY_MS = 250;
/** Milliseconds from the creation of a ledger during which the target may still run requests that an earlier ledger admitted. */
const LEARNING_MS = 6000;

/** Least tokens of a prefix in prefill that a prompt waits for. An engine prefills them in about the time of the two messages that end the wait: the report of the first token to the owner, and the owner's second reply. */
const MIN_AWAITED_TOKENS = 2000;
/**
 * Time for which a prompt waits for a prefix when no message reports the end of its prefill:
 * the expected time with a factor and a margin. Sending the prompt too early costs the prefill
 * of the whole prefix; waiting too long only delays the request whose message was lost.
 */
const AWAIT_FACTOR = 1.5;
const AWAIT_MARGIN_MS = 25;
/** Most milliseconds for which a prompt waits for a prefix. */
export const MAX_AWAIT_MS = 1000;
/** Share of the latency target within which a prompt that waits for a prefix has to start. Other prompts are prefilled before it only if that remains possible. The rest of the latency target is for network latency. */
const AWAITED_START_SHARE = 0.8;

/** Milliseconds of prefill that an engine of a contended target has ahead when it is given the next prompt: what it prefills until the report of a first token has reached the owner and the next prompt has reached the engine. */
export const CONTENDED_BACKLOG_MS = 80;
/** Milliseconds past its predicted first token after which a prompt at a contended engine is no longer taken to be in prefill. */
const MAX_OVERDUE_MS = 600;

/** Tokens per millisecond that an engine is assumed to prefill before the first sample. A few samples correct it. */
const INITIAL_TOKENS_PER_MS = 40;

/** An admitted request that has not ended. */
type Entry = {
	readonly reservation: Reservation;
	/** Id of the request that prefills a shared prefix of this one; undefined once this one may be sent. */
	readonly waitsFor: string | undefined;
	readonly keys: readonly number[];
	/** Prompt tokens that the target has to prefill. */
	readonly newTokens: number;
	/** Tokens of KV cache that the request occupies at most. */
	readonly heldTokens: number;
	/** Prompt tokens that were to be prefilled at `sinceMs`, those of this request included. */
	readonly backlogTokens: number;
	/** Time of the admission, or of the release of a request that waited for a prefix. */
	readonly sinceMs: number;
	/** Whether the prompt is not prefilled yet. */
	readonly isReading: boolean;
	/** Whether the first token did not come in time, so that the prompt is no longer taken to be in prefill. */
	readonly isOverdue: boolean;
};

export type LedgerContext = {
	readonly service: RoutedService;
	/** Slots of the target. */
	readonly slots: number;
	/** Requests at the target by its own load figures. */
	readonly observedRunning: number;
	/** Time that work takes at the target now, as a multiple of the typical time. */
	readonly slowdown: number;
	/** Whether requests are in line for the target. Its backlog is kept short then, since it prefills in order of arrival. */
	readonly isContended: boolean;
	/** Whether the request may start if it fits; false while others come before it. */
	readonly mayStart: boolean;
	readonly nowMs: number;
};

/** Whether an engine can take a request now, and if not, why: it lacks slots or memory, it has prompts to prefill first, or the request would start too late. */
type Fit = 'fits' | 'no-capacity' | 'backlog' | 'too-late';

type Assessment = {
	readonly fit: Fit;
	readonly cachedTokens: number;
	readonly newTokens: number;
	/** Request that prefills a shared prefix of this one. */
	readonly prefix: {readonly id: string; readonly tokens: number} | undefined;
	readonly prediction: StartPrediction;
	/** Predicted milliseconds of prefill ahead of the request. */
	readonly aheadMs: number;
	readonly tokensPerMs: number;
	readonly running: number;
};

/** The decision on a reservation request, with the predicted milliseconds of prefill ahead of it and of its own prompt. */
export type LedgerDecision = {readonly answer: ReservationAnswer} & Pick<Assessment, 'fit' | 'aheadMs'> & Pick<StartPrediction, 'ownPrefillMs'>;

/** What is known of the prompt that an engine prefills. */
type PrefillProgress = {readonly id: string | undefined; readonly tokens: number; readonly overdueMs: number};

const NO_PROGRESS: PrefillProgress = {id: undefined, tokens: 0, overdueMs: 0};

export class TargetLedger {
	readonly #entries = new Map<string, Entry>();
	readonly #prefixCache: PrefixCacheEstimate;
	readonly #prefillRate: PrefillRate;
	readonly #target: string;
	readonly #createdMs: number;
	#readingTokens = 0;
	#heldTokens = 0;
	/** Time of the last first token. */
	#firstTokenMs = -Infinity;
	#released: string[] = [];

	constructor(target: string, {capacityTokens, nowMs}: {readonly capacityTokens: () => number; readonly nowMs: number}) {
		this.#target = target;
		this.#createdMs = nowMs;
		this.#prefixCache = createPrefixCacheEstimate(capacityTokens);
		this.#prefillRate = createPrefillRate(ALL_PROMPTS_KNOWN, INITIAL_TOKENS_PER_MS);
	}

	/** Number of admitted requests that have not ended. */
	get running(): number {
		return this.#entries.size;
	}

	/** Admits a request if the engine has capacity for it and can start it in time. */
	reserve(reservation: Reservation, ctx: LedgerContext): LedgerDecision {
		const {nowMs} = ctx;
		this.#expire(nowMs);
		const {fit, cachedTokens, newTokens, prefix, prediction, aheadMs, tokensPerMs, running} = this.#assess(reservation, ctx);
		const isGranted = ctx.mayStart && fit === 'fits';
		if (isGranted) {
			this.#add(reservation, {newTokens, waitsFor: prefix?.id}, nowMs);
		}

		return {
			fit,
			aheadMs,
			ownPrefillMs: prediction.ownPrefillMs,
			answer: {
				target: this.#target,
				isGranted,
				keptTokens: cachedTokens,
				retryAfterMs: isGranted ? 0 : this.#retryAfterMs(reservation, prediction, tokensPerMs),
				startAfterMs: isGranted && prefix ? this.#startAfterMs(prefix.id, nowMs) : 0,
				queuedMs: 0,
				hasLine: ctx.isContended,
				running,
				readingTokens: this.#readingTokens,
				predictedMs: prediction.predictedMs,
			},
		};
	}

	/** Returns the replies to requests that have stopped waiting for a shared prefix since the last call, by grant id. */
	takeReleased(nowMs: number): ReadonlyMap<string, ReservationAnswer> {
		const released = this.#released;
		this.#released = [];
		return new Map(released.flatMap(id => {
			const entry = this.#entries.get(id);
			return entry ? [[id, this.#replyOnRelease(entry, nowMs)] as const] : [];
		}));
	}

	/** Records the first token of a request: its prompt is prefilled, and counts as cached from now on. */
	noteFirstToken(id: string, nowMs: number): void {
		const entry = this.#entries.get(id);
		if (entry && (entry.isReading || entry.isOverdue)) {
			this.#prefixCache.noteSent(sentPromptOf(this.#target, entry.reservation.prompt, entry.keys), nowMs);
		}

		if (entry?.isOverdue) {
			this.#entries.set(id, {...entry, isOverdue: false});
		}

		if (entry?.isReading) {
			this.#readingTokens -= entry.newTokens;
			this.#entries.set(id, {...entry, isReading: false});
			this.#firstTokenMs = nowMs;
			this.#prefillRate.note(entry.backlogTokens, nowMs - entry.sinceMs);
			this.#release(id, nowMs);
		}
	}

	noteEnded(id: string, nowMs: number): void {
		const entry = this.#entries.get(id);
		if (!entry) {
			return;
		}

		this.#entries.delete(id);
		this.#heldTokens -= entry.heldTokens;
		if (entry.isReading) {
			this.#readingTokens -= entry.newTokens;
			this.#release(id, nowMs);
		}
	}

	#assess(reservation: Reservation, ctx: LedgerContext): Assessment {
		const {prompt, keys, waitedMs, nowMs, slowdown, isContended} = {...reservation, ...ctx};
		const cachedTokens = this.#prefixCache.keptTokens(this.#target, prompt, keys, nowMs);
		const availableTokens = Math.max(cachedTokens, reservation.copiedTokens);
		const prefix = this.#prefixInPrefill(reservation, availableTokens);
		const newTokens = Math.max(0, prompt.tokens - (prefix?.tokens ?? availableTokens));
		const tokensPerMs = this.#prefillRate.tokensPerMs();
		// Prompts that wait for a prefix have not been sent, and are prefilled after one that is sent now.
		const progress = isContended ? this.#presentProgress(tokensPerMs / slowdown, nowMs) : NO_PROGRESS;
		const aheadTokens = Math.max(0, this.#readingTokens - progress.tokens - (prefix ? 0 : this.#waitingTokens()));
		// An engine whose first token is overdue is assumed to take as long again.
		const aheadMs = slowedMs(aheadTokens / tokensPerMs, slowdown) + progress.overdueMs;
		const ownPrefillMs = slowedMs(newTokens / tokensPerMs, slowdown);
		const prediction: StartPrediction = {
			waitedMs,
			predictedMs: slowedMs((aheadTokens + newTokens) / tokensPerMs, slowdown) + progress.overdueMs + ALL_PROMPTS_KNOWN.overheadMs,
			ownPrefillMs,
		};
		const load = {running: this.#knownRunning(ctx), readingTokens: this.#readingTokens, heldTokens: this.#heldTokens};
		const terms = {givesWay: reservation.givesWay, isExact: true};
		const delaysWaiting = prefix === undefined && ((this.#readingTokens + newTokens) / tokensPerMs) + ALL_PROMPTS_KNOWN.overheadMs > this.#slackOfWaitingMs(nowMs);
		const fitOf = (): Fit => {
			if (!hasCapacity(reservation, {slots: ctx.slots, load}, {service: ctx.service, ...terms})) {
				return 'no-capacity';
			}

			if (delaysWaiting) {
				return 'backlog';
			}

			if (!isContended) {
				return startsInTime(reservation, prediction, terms) ? 'fits' : 'backlog';
			}

			if (aheadMs > CONTENDED_BACKLOG_MS) {
				return 'backlog';
			}

			const isInTime = reservation.isResumed || waitedMs + aheadMs <= startWithinMs(reservation, ownPrefillMs);
			return isInTime ? 'fits' : 'too-late';
		};

		return {
			fit: fitOf(), cachedTokens, newTokens, prefix, prediction, aheadMs, tokensPerMs, running: load.running,
		};
	}

	/** Like `#prefillProgress`, after prompts that are long overdue have been passed over. Such a prompt was never sent, since its VM has died, or its engine has stopped, which the next prompt shows. */
	#presentProgress(tokensPerMs: number, nowMs: number): PrefillProgress {
		for (;;) {
			const progress = this.#prefillProgress(tokensPerMs, nowMs);
			const entry = progress.overdueMs > MAX_OVERDUE_MS && progress.id !== undefined ? this.#entries.get(progress.id) : undefined;
			if (!entry || progress.id === undefined) {
				return progress;
			}

			this.#readingTokens -= entry.newTokens;
			this.#entries.set(progress.id, {...entry, isReading: false, isOverdue: true});
			this.#firstTokenMs = nowMs;
			this.#release(progress.id, nowMs);
		}
	}

	/** Estimates how much of the prompt in prefill the engine has prefilled by now, and by how long its first token is overdue. */
	#prefillProgress(tokensPerMs: number, nowMs: number): PrefillProgress {
		for (const [id, {isReading, waitsFor, newTokens, sinceMs}] of this.#entries) {
			if (isReading && waitsFor === undefined) {
				// Half of the overhead is the way of the prompt to the engine, half that of the first token to this VM.
				const startedMs = Math.max(sinceMs + (ALL_PROMPTS_KNOWN.overheadMs / 2), this.#firstTokenMs - (ALL_PROMPTS_KNOWN.overheadMs / 2));
				const elapsedMs = Math.max(0, nowMs - startedMs);
				return {id, tokens: Math.min(newTokens, elapsedMs * tokensPerMs), overdueMs: Math.max(0, elapsedMs - (newTokens / tokensPerMs) - ALL_PROMPTS_KNOWN.overheadMs)};
			}
		}

		return NO_PROGRESS;
	}

	/** Finds the request that is prefilling the longest prefix of a prompt, and the tokens of that prefix. The prefix has to exceed the available tokens by enough to wait for it. */
	#prefixInPrefill({id: ownId, prompt: {parts}, keys}: Reservation, availableTokens: number): {readonly id: string; readonly tokens: number} | undefined {
		let best: {readonly id: string; readonly tokens: number} | undefined;
		for (const [id, entry] of this.#entries) {
			if (!entry.isReading || id === ownId) {
				continue;
			}

			let tokens = 0;
			for (const [index, key] of keys.entries()) {
				if (entry.keys[index] !== key) {
					break;
				}

				tokens += parts[index]?.tokens ?? 0;
			}

			if (tokens >= availableTokens + MIN_AWAITED_TOKENS && tokens > (best?.tokens ?? 0)) {
				best = {id, tokens};
			}
		}

		return best;
	}

	/** Returns the tokens to prefill of requests that wait for a prefix. */
	#waitingTokens(): number {
		let tokens = 0;
		for (const {waitsFor, newTokens} of this.#entries.values()) {
			tokens += waitsFor === undefined ? 0 : newTokens;
		}

		return tokens;
	}

	/** Returns the milliseconds within which all admitted prompts have to be prefilled so that those that wait for a prefix start in time. A prompt that is sent now is prefilled before them. */
	#slackOfWaitingMs(nowMs: number): number {
		const slacks = [...this.#entries.values()]
			.filter(({waitsFor}) => waitsFor !== undefined)
			.map(({sinceMs, reservation: {targetLatencyMs, waitedMs}}) => sinceMs - nowMs + (targetLatencyMs * AWAITED_START_SHARE) - waitedMs);
		return Math.min(Infinity, ...slacks);
	}

	/** Returns the milliseconds after which a request that waits for a prefix is sent without a message. */
	#startAfterMs(prefillerId: string, nowMs: number): number {
		const prefiller = this.#entries.get(prefillerId);
		if (!prefiller) {
			return 0;
		}

		const expectedMs = prefiller.sinceMs + (prefiller.backlogTokens / this.#prefillRate.tokensPerMs()) + ALL_PROMPTS_KNOWN.overheadMs;
		return Math.min(MAX_AWAIT_MS, (Math.max(0, expectedMs - nowMs) * AWAIT_FACTOR) + AWAIT_MARGIN_MS);
	}

	/** Releases the requests that waited for a prefix. If the prefix was not prefilled, only the first request is released; it prefills the prefix, and the others wait for it. */
	#release(prefillerId: string, nowMs: number): void {
		const waiting = [...this.#entries].filter(([, {waitsFor}]) => waitsFor === prefillerId);
		for (const [id, entry] of waiting) {
			const {reservation, keys} = entry;
			const reusableTokens = Math.max(this.#prefixCache.keptTokens(this.#target, reservation.prompt, keys, nowMs), reservation.copiedTokens);
			// Waiting for a request that still waits itself could form a cycle.
			const nextPrefiller = waiting.find(([other, {keys: otherKeys}]) => other !== id && this.#entries.get(other)?.waitsFor === undefined && otherKeys.at(-1) === keys.at(-1));
			const hasPrefix = reusableTokens + MIN_AWAITED_TOKENS > reservation.prompt.parts.slice(0, keys.length).reduce((sum, {tokens}) => sum + tokens, 0);
			if (nextPrefiller && !hasPrefix) {
				this.#entries.set(id, {...entry, waitsFor: nextPrefiller[0]});
				continue;
			}

			const newTokens = Math.max(0, reservation.prompt.tokens - reusableTokens);
			this.#readingTokens += newTokens - entry.newTokens;
			this.#entries.delete(id);
			this.#entries.set(id, {
				...entry, newTokens, backlogTokens: this.#readingTokens - this.#waitingTokens(), sinceMs: nowMs, waitsFor: undefined,
			});
			this.#released.push(id);
		}
	}

	#replyOnRelease({reservation, newTokens, backlogTokens, keys}: Entry, nowMs: number): ReservationAnswer {
		return {
			target: this.#target,
			isGranted: true,
			keptTokens: this.#prefixCache.keptTokens(this.#target, reservation.prompt, keys, nowMs),
			retryAfterMs: 0,
			startAfterMs: 0,
			queuedMs: 0,
			hasLine: false,
			running: this.running,
			readingTokens: this.#readingTokens,
			predictedMs: (Math.max(newTokens, backlogTokens) / this.#prefillRate.tokensPerMs()) + ALL_PROMPTS_KNOWN.overheadMs,
		};
	}

	/** Returns the running requests. A new ledger does not know of earlier ones, so the target's own load figures count too at first. */
	#knownRunning({observedRunning, nowMs}: LedgerContext): number {
		return nowMs < this.#createdMs + LEARNING_MS ? Math.max(this.running, observedRunning) : this.running;
	}

	#add(reservation: Reservation, {newTokens, waitsFor}: Pick<Entry, 'newTokens' | 'waitsFor'>, nowMs: number): void {
		const {id, prompt, keys} = reservation;
		// A VM that restarted numbers its grants from the beginning, so the id may be in use.
		this.noteEnded(id, nowMs);
		const heldTokens = prompt.tokens + prompt.outputTokens;
		this.#readingTokens += newTokens;
		this.#heldTokens += heldTokens;
		this.#entries.set(id, {
			reservation,
			waitsFor,
			keys,
			newTokens,
			heldTokens,
			backlogTokens: this.#readingTokens - this.#waitingTokens(),
			sinceMs: nowMs,
			isReading: true,
			isOverdue: false,
		});
	}

	/** Returns the milliseconds until the predicted time to first token falls to half of the latency target. The result is at least half of the request's own prefill time and at most the prefill time of the backlog. */
	#retryAfterMs({targetLatencyMs}: Reservation, {predictedMs, ownPrefillMs}: StartPrediction, tokensPerMs: number): number {
		const backlogMs = this.#readingTokens / tokensPerMs;
		const lateMs = Math.min(backlogMs, Math.max(0, predictedMs - (targetLatencyMs / 2), ownPrefillMs / 2));
		return Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, lateMs));
	}

	/** Removes the requests whose end was not reported in time. Entries are ordered by `sinceMs`. */
	#expire(nowMs: number): void {
		for (const [id, {sinceMs}] of this.#entries) {
			if (sinceMs > nowMs - ENTRY_EXPIRY_MS) {
				return;
			}

			this.noteEnded(id, nowMs);
		}
	}
}
