/**
 * The account of one model engine, kept by the VM that owns it: which prompts were let in,
 * how much of them is unread, and what the engine keeps of them.
 *
 * It answers a load pattern of large fleets: many VMs that each see a small part of the
 * requests send to the same engine within the time that word of its load takes. An engine
 * reads a few large prompts in the time that a first token may take, so even two VMs that
 * choose it at the same moment make both requests late.
 */
import {type Prompt} from '../dispatch/types.js';
import {type RoutedService} from '../routing/types.js';
import {createPromptRecord, type PromptRecord} from './prompt-record.js';
import {ALL_KNOWN, createReadRate, type ReadRate} from './read-rate.js';
import {hasRoom, startsInTime, type StartPrediction} from './start-limits.js';

/** Milliseconds after its latency target and the longest stream for which a request without word of its end counts. */
const FORGET_AFTER_MS = 20_000;
/** Bounds in milliseconds of the time after which a declined request may fit. */
const MIN_RETRY_MS = 15;
const MAX_RETRY_MS = 250;
/** Milliseconds for which requests that were let in before this ledger began may still run. */
const LEARN_MS = 6000;

/** Tokens per millisecond that an engine is taken to read until its first prompts were: a moderate one, since the ledger corrects it after a few. */
const INITIAL_TOKENS_PER_MS = 40;

/** A request for room at an engine. */
export type ReservationWish = {
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
	readonly running: number;
	/** Prompt tokens that the target has not read, those of a granted wish included. */
	readonly readingTokens: number;
	readonly predictedMs: number;
};

type Entry = {
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
	readonly nowMs: number;
};

export class TargetLedger {
	readonly #entries = new Map<string, Entry>();
	readonly #prompts: PromptRecord;
	readonly #rate: ReadRate;
	readonly #target: string;
	readonly #beganMs: number;
	#readingTokens = 0;
	#heldTokens = 0;

	constructor(target: string, {capacityTokens, nowMs}: {readonly capacityTokens: () => number; readonly nowMs: number}) {
		this.#target = target;
		this.#beganMs = nowMs;
		this.#prompts = createPromptRecord(capacityTokens);
		this.#rate = createReadRate(ALL_KNOWN, INITIAL_TOKENS_PER_MS);
	}

	/** Requests that were let in and have not ended. */
	get running(): number {
		return this.#entries.size;
	}

	/** Lets a request in when the engine can start it in time. */
	reserve(wish: ReservationWish, ctx: LedgerContext): ReservationAnswer {
		const {prompt, keys, nowMs} = {...wish, ...ctx};
		this.#expire(nowMs);
		const recorded = this.#prompts.keptTokens(this.#target, prompt, keys, nowMs);
		const keptTokens = Math.max(recorded, wish.copiedTokens);
		const newTokens = Math.max(0, prompt.tokens - keptTokens);
		const tokensPerMs = this.#rate.tokensPerMs();
		const prediction: StartPrediction = {
			waitedMs: wish.waitedMs, predictedMs: ((this.#readingTokens + newTokens) / tokensPerMs) + ALL_KNOWN.overheadMs, ownMs: newTokens / tokensPerMs,
		};
		const load = {running: this.#runningWith(ctx), readingTokens: this.#readingTokens, heldTokens: this.#heldTokens};
		const terms = {givesWay: wish.givesWay, isExact: true};
		const isGranted = hasRoom(wish, {slots: ctx.slots, load}, {service: ctx.service, ...terms}) && startsInTime(wish, prediction, terms);
		if (isGranted) {
			this.#add(wish, newTokens, nowMs);
		}

		return {
			target: this.#target,
			isGranted,
			keptTokens: recorded,
			retryAfterMs: isGranted ? 0 : this.#retryAfterMs(wish, prediction, tokensPerMs),
			running: load.running,
			readingTokens: this.#readingTokens,
			predictedMs: prediction.predictedMs,
		};
	}

	/** The first token has come: the prompt has been read, and is kept from now on. A part that is being read is read by each request that needs it. */
	noteStarted(id: string, nowMs: number): void {
		const entry = this.#entries.get(id);
		if (entry?.isReading) {
			this.#prompts.noteSent({target: this.#target, keys: entry.keys, newTokens: entry.addedTokens}, nowMs);
			this.#readingTokens -= entry.newTokens;
			this.#entries.set(id, {...entry, isReading: false});
			this.#rate.note(entry.backlogTokens, nowMs - entry.sinceMs);
		}
	}

	noteEnded(id: string): void {
		const entry = this.#entries.get(id);
		if (entry) {
			this.#entries.delete(id);
			this.#heldTokens -= entry.heldTokens;
			this.#readingTokens -= entry.isReading ? entry.newTokens : 0;
		}
	}

	/** A ledger that has just begun knows nothing of what runs; the target's own word does. */
	#runningWith({observedRunning, nowMs}: LedgerContext): number {
		return nowMs < this.#beganMs + LEARN_MS ? Math.max(this.running, observedRunning) : this.running;
	}

	#add({id, prompt, keys}: ReservationWish, newTokens: number, nowMs: number): void {
		// A VM that restarted counts its requests anew.
		this.noteEnded(id);
		const heldTokens = prompt.tokens + prompt.outputTokens;
		this.#readingTokens += newTokens;
		this.#heldTokens += heldTokens;
		this.#entries.set(id, {
			keys, addedTokens: newTokens + prompt.outputTokens, newTokens, heldTokens, backlogTokens: this.#readingTokens, sinceMs: nowMs, isReading: true,
		});
	}

	/** Until enough of the backlog has been read; half of a latency target when room is what lacks. */
	#retryAfterMs({targetLatencyMs}: ReservationWish, {predictedMs, ownMs}: StartPrediction, tokensPerMs: number): number {
		const backlogMs = this.#readingTokens / tokensPerMs;
		const lateMs = Math.min(backlogMs, Math.max(0, predictedMs - (targetLatencyMs / 2), ownMs / 2));
		return Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, lateMs));
	}

	/** Entries are in the order of their times. */
	#expire(nowMs: number): void {
		for (const [id, {sinceMs}] of this.#entries) {
			if (sinceMs > nowMs - FORGET_AFTER_MS) {
				return;
			}

			this.noteEnded(id);
		}
	}
}
