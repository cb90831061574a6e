/**
 * The account of one model engine, kept by the VM that owns it: which prompts were let in,
 * how much of them is unread, and what the engine keeps of them.
 *
 * It answers a load pattern of large fleets: many VMs that each see a small part of the
 * requests send to the same engine within the time that word of its load takes. An engine
 * reads a few large prompts in the time that a first token may take, so even two VMs that
 * choose it at the same moment make both requests late.
 *
 * Prompts of one team arrive together and share large parts. An engine that gets a prompt
 * while its shared part is being prefilled prefills the part once more, so the ledger keeps
 * room for such a prompt and has it sent when the part has been prefilled.
 */
import {type Prompt} from '../dispatch/types.js';
import {type RoutedService} from '../routing/types.js';
import {createPrefixCacheEstimate, type PrefixCacheEstimate} from './prefix-cache-estimate.js';
import {ALL_KNOWN, createPrefillRate, type PrefillRate} from './prefill-rate.js';
import {hasCapacity, startsInTime, type StartPrediction} from './start-limits.js';
import {slowedMs} from './target-speed.js';

/** Milliseconds after its latency target and the longest stream for which a request without word of its end counts. */
const FORGET_AFTER_MS = 20_000;
/** Bounds in milliseconds of the time after which a declined request may fit. */
const MIN_RETRY_MS = 15;
const MAX_RETRY_MS = 250;
/** Milliseconds for which requests that were let in before this ledger began may still run. */
const LEARN_MS = 6000;

/** Tokens that are being prefilled from which a prompt waits for them: an engine takes about as long for them as the two messages that end the wait. */
const MIN_AWAITED_TOKENS = 2000;
/**
 * How long a prompt waits for a part when no word comes that it was prefilled: the expected
 * time with a margin, since sending too early costs the whole part and waiting too long only
 * the request whose word was lost.
 */
const AWAIT_FACTOR = 1.5;
const AWAIT_MARGIN_MS = 25;
export const MAX_AWAIT_MS = 1000;
/** Part of its latency target within which a prompt that waits for a part still starts when others are let in before it; the rest is for the way. */
const AWAITED_START_SHARE = 0.8;

/** Tokens per millisecond that an engine is taken to read until its first prompts were: a moderate one, since the ledger corrects it after a few. */
const INITIAL_TOKENS_PER_MS = 40;

/** A request for room at an engine. */
export type Reservation = {
	readonly id: string;
	readonly target: string;
	readonly prompt: Prompt;
	/** The prompt's `sharedKeys`. */
	readonly keys: readonly number[];
	/** Leading tokens that the target would copy from another one. */
	readonly copiedTokens: number;
	readonly targetLatencyMs: number;
	readonly waitedMs: number;
	readonly givesWay: boolean;
	readonly isResumed: boolean;
};

/** What the owner says to a wish, with the figures that decided. */
export type ReservationAnswer = {
	readonly target: string;
	readonly isGranted: boolean;
	/** Leading tokens of the prompt that the target has read and keeps, which others can copy. */
	readonly keptTokens: number;
	/** Milliseconds until the same request may fit; 0 when granted. */
	readonly retryAfterMs: number;
	/** When granted: milliseconds after which to send the request at the latest. More than 0 while a shared part of it is being prefilled; a second answer with 0 comes when that is done. */
	readonly startAfterMs: number;
	readonly running: number;
	/** Prompt tokens that the target has not read, those of a granted wish included. */
	readonly readingTokens: number;
	readonly predictedMs: number;
};

type Entry = {
	readonly wish: Reservation;
	/** Id of the request that prefills a shared part of this one, which has not been sent yet. */
	readonly waitsFor: string | undefined;
	readonly keys: readonly number[];
	/** Tokens that it adds to the target's memory. */
	readonly addedTokens: number;
	readonly newTokens: number;
	readonly heldTokens: number;
	/** Tokens that were to be read when the request was let in, its own included. */
	readonly backlogTokens: number;
	readonly sinceMs: number;
	readonly isReading: boolean;
};

export type LedgerContext = {
	readonly service: RoutedService;
	/** Slots of the target. */
	readonly slots: number;
	/** Requests that the target's own answers tell of. */
	readonly observedRunning: number;
	/** Time that work takes at the target now, as a multiple of the usual. */
	readonly slowdown: number;
	readonly nowMs: number;
};

export class TargetLedger {
	readonly #entries = new Map<string, Entry>();
	readonly #prompts: PrefixCacheEstimate;
	readonly #rate: PrefillRate;
	readonly #target: string;
	readonly #beganMs: number;
	#readingTokens = 0;
	#heldTokens = 0;
	#released: string[] = [];

	constructor(target: string, {capacityTokens, nowMs}: {readonly capacityTokens: () => number; readonly nowMs: number}) {
		this.#target = target;
		this.#beganMs = nowMs;
		this.#prompts = createPrefixCacheEstimate(capacityTokens);
		this.#rate = createPrefillRate(ALL_KNOWN, INITIAL_TOKENS_PER_MS);
	}

	/** Requests that were let in and have not ended. */
	get running(): number {
		return this.#entries.size;
	}

	/** Lets a request in when the engine can start it in time. */
	reserve(wish: Reservation, ctx: LedgerContext): ReservationAnswer {
		const {prompt, keys, nowMs} = {...wish, ...ctx};
		this.#expire(nowMs);
		const recorded = this.#prompts.keptTokens(this.#target, prompt, keys, nowMs);
		const known = Math.max(recorded, wish.copiedTokens);
		const prefix = this.#prefixOf(wish, known);
		const newTokens = Math.max(0, prompt.tokens - (prefix?.tokens ?? known));
		const tokensPerMs = this.#rate.tokensPerMs();
		// What waits for a part has not been sent, and is prefilled after what is sent now.
		const aheadTokens = this.#readingTokens - (prefix ? 0 : this.#awaitingTokens());
		const prediction: StartPrediction = {
			waitedMs: wish.waitedMs, predictedMs: slowedMs((aheadTokens + newTokens) / tokensPerMs, ctx.slowdown) + ALL_KNOWN.overheadMs, ownPrefillMs: slowedMs(newTokens / tokensPerMs, ctx.slowdown),
		};
		const load = {running: this.#runningWith(ctx), readingTokens: this.#readingTokens, heldTokens: this.#heldTokens};
		const terms = {givesWay: wish.givesWay, isExact: true};
		const isGranted = hasCapacity(wish, {slots: ctx.slots, load}, {service: ctx.service, ...terms}) && startsInTime(wish, prediction, terms)
			&& (prefix !== undefined || ((this.#readingTokens + newTokens) / tokensPerMs) + ALL_KNOWN.overheadMs <= this.#leftToAwaitingMs(nowMs));
		if (isGranted) {
			this.#add(wish, {newTokens, waitsFor: prefix?.id}, nowMs);
		}

		return {
			target: this.#target,
			isGranted,
			keptTokens: recorded,
			retryAfterMs: isGranted ? 0 : this.#retryAfterMs(wish, prediction, tokensPerMs),
			startAfterMs: isGranted && prefix ? this.#startAfterMs(prefix.id, nowMs) : 0,
			running: load.running,
			readingTokens: this.#readingTokens,
			predictedMs: prediction.predictedMs,
		};
	}

	/** Answers to the requests that no longer wait for a shared part, by their ids. */
	takeReleased(nowMs: number): ReadonlyMap<string, ReservationAnswer> {
		const released = this.#released;
		this.#released = [];
		return new Map(released.flatMap(id => {
			const entry = this.#entries.get(id);
			return entry ? [[id, this.#releaseAnswer(entry, nowMs)] as const] : [];
		}));
	}

	/** The first token has come: the prompt has been read, and is kept from now on. */
	noteStarted(id: string, nowMs: number): void {
		const entry = this.#entries.get(id);
		if (entry?.isReading) {
			this.#prompts.noteSent({target: this.#target, keys: entry.keys, newTokens: entry.addedTokens}, nowMs);
			this.#readingTokens -= entry.newTokens;
			this.#entries.set(id, {...entry, isReading: false});
			this.#rate.note(entry.backlogTokens, nowMs - entry.sinceMs);
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

	/** The request that prefills most of the shared parts of a wish, beyond what is kept, and the tokens that will be kept then. */
	#prefixOf({id: own, prompt: {parts}, keys}: Reservation, keptTokens: number): {readonly id: string; readonly tokens: number} | undefined {
		let best: {readonly id: string; readonly tokens: number} | undefined;
		for (const [id, entry] of this.#entries) {
			if (!entry.isReading || id === own) {
				continue;
			}

			let tokens = 0;
			for (const [index, key] of keys.entries()) {
				if (entry.keys[index] !== key) {
					break;
				}

				tokens += parts[index]?.tokens ?? 0;
			}

			if (tokens >= keptTokens + MIN_AWAITED_TOKENS && tokens > (best?.tokens ?? 0)) {
				best = {id, tokens};
			}
		}

		return best;
	}

	#awaitingTokens(): number {
		let tokens = 0;
		for (const {waitsFor, newTokens} of this.#entries.values()) {
			tokens += waitsFor === undefined ? 0 : newTokens;
		}

		return tokens;
	}

	/** Milliseconds within which all that was let in has to be prefilled, so that the prompts that wait for a part start in time: what is sent now is prefilled before them. */
	#leftToAwaitingMs(nowMs: number): number {
		const left = [...this.#entries.values()]
			.filter(({waitsFor}) => waitsFor !== undefined)
			.map(({sinceMs, wish: {targetLatencyMs, waitedMs}}) => sinceMs - nowMs + (targetLatencyMs * AWAITED_START_SHARE) - waitedMs);
		return Math.min(Infinity, ...left);
	}

	#startAfterMs(prefillerId: string, nowMs: number): number {
		const prefiller = this.#entries.get(prefillerId);
		if (!prefiller) {
			return 0;
		}

		const expectedMs = prefiller.sinceMs + (prefiller.backlogTokens / this.#rate.tokensPerMs()) + ALL_KNOWN.overheadMs;
		return Math.min(MAX_AWAIT_MS, (Math.max(0, expectedMs - nowMs) * AWAIT_FACTOR) + AWAIT_MARGIN_MS);
	}

	/** Requests that waited for a part may be sent. When it was not prefilled after all, the first one prefills it and the others wait for that one. */
	#release(prefillerId: string, nowMs: number): void {
		const waiting = [...this.#entries].filter(([, {waitsFor}]) => waitsFor === prefillerId);
		for (const [id, entry] of waiting) {
			const {wish, keys} = entry;
			const kept = Math.max(this.#prompts.keptTokens(this.#target, wish.prompt, keys, nowMs), wish.copiedTokens);
			// One that is before it and waits itself would be waited for in a circle.
			const next = waiting.find(([other, {keys: otherKeys}]) => other !== id && this.#entries.get(other)?.waitsFor === undefined && otherKeys.at(-1) === keys.at(-1));
			const hasPart = kept + MIN_AWAITED_TOKENS > wish.prompt.parts.slice(0, keys.length).reduce((sum, {tokens}) => sum + tokens, 0);
			if (next && !hasPart) {
				this.#entries.set(id, {...entry, waitsFor: next[0]});
				continue;
			}

			const newTokens = Math.max(0, wish.prompt.tokens - kept);
			this.#readingTokens += newTokens - entry.newTokens;
			this.#entries.delete(id);
			this.#entries.set(id, {
				...entry, newTokens, addedTokens: newTokens + wish.prompt.outputTokens, backlogTokens: this.#readingTokens - this.#awaitingTokens(), sinceMs: nowMs, waitsFor: undefined,
			});
			this.#released.push(id);
		}
	}

	#releaseAnswer({wish, newTokens, backlogTokens, keys}: Entry, nowMs: number): ReservationAnswer {
		return {
			target: this.#target,
			isGranted: true,
			keptTokens: this.#prompts.keptTokens(this.#target, wish.prompt, keys, nowMs),
			retryAfterMs: 0,
			startAfterMs: 0,
			running: this.running,
			readingTokens: this.#readingTokens,
			predictedMs: (Math.max(newTokens, backlogTokens) / this.#rate.tokensPerMs()) + ALL_KNOWN.overheadMs,
		};
	}

	/** A ledger that has just begun knows nothing of what runs; the target's own word does. */
	#runningWith({observedRunning, nowMs}: LedgerContext): number {
		return nowMs < this.#beganMs + LEARN_MS ? Math.max(this.running, observedRunning) : this.running;
	}

	#add(wish: Reservation, {newTokens, waitsFor}: Pick<Entry, 'newTokens' | 'waitsFor'>, nowMs: number): void {
		const {id, prompt, keys} = wish;
		// A VM that restarted counts its requests anew.
		this.noteEnded(id, nowMs);
		const heldTokens = prompt.tokens + prompt.outputTokens;
		this.#readingTokens += newTokens;
		this.#heldTokens += heldTokens;
		this.#entries.set(id, {
			wish, waitsFor, keys, addedTokens: newTokens + prompt.outputTokens, newTokens, heldTokens, backlogTokens: this.#readingTokens - this.#awaitingTokens(), sinceMs: nowMs, isReading: true,
		});
	}

	/** Until enough of the backlog has been read; half of a latency target when room is what lacks. */
	#retryAfterMs({targetLatencyMs}: Reservation, {predictedMs, ownPrefillMs}: StartPrediction, tokensPerMs: number): number {
		const backlogMs = this.#readingTokens / tokensPerMs;
		const lateMs = Math.min(backlogMs, Math.max(0, predictedMs - (targetLatencyMs / 2), ownPrefillMs / 2));
		return Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, lateMs));
	}

	/** Entries are in the order of their times. */
	#expire(nowMs: number): void {
		for (const [id, {sinceMs}] of this.#entries) {
			if (sinceMs > nowMs - FORGET_AFTER_MS) {
				return;
			}

			this.noteEnded(id, nowMs);
		}
	}
}
