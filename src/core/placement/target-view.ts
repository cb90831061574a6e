/**
 * One target as this VM sees it: what was sent there and has not ended, what its answers
 * say of its load, whether it is cold, and whether it has failed lately.
 */
import {type ReportedLoad} from '../dispatch/types.js';
import {type TargetRecord} from '../routing/types.js';
import {PromptLossDetector} from './prompt-loss.js';
import {createSlidingCount, type SlidingCount} from './sliding-count.js';
import {TargetSpeed} from './target-speed.js';

/** Milliseconds for which a load report is taken into account. */
const LOAD_VALID_MS = 2000;
/** Window of a cold target's rate, in milliseconds; a little more than the second that is counted, for jitter on the way. */
const COLD_WINDOW_MS = 1100;
/** Milliseconds for which a target is passed over after its first failure in a row, and at most. */
const PASS_OVER_MS = 250;
const MAX_PASS_OVER_MS = 2000;
/** Milliseconds added to the time for which a target that answers again may be cold, for the way of its answer. */
const DOUBT_MARGIN_MS = 500;
/** Heartbeats after whose loss the entry of a target lapses. */
const LAPSE_HEARTBEATS = 3;
/** Milliseconds until the lapse of an entry shows here: the way of the heartbeats and the looks at entries. */
const LAPSE_MARGIN_MS = 2000;

/** How long a target that may have ended stays in doubt. */
export type DoubtTimes = {
	readonly coldStartMs: number;
	/** Milliseconds between heartbeats of a target. */
	readonly heartbeatMs: number;
};

/** What a target says of all its requests. */
export type LoadFigures = Pick<ReportedLoad, 'running' | 'waiting' | 'workPercent'>;

/** A request that was sent and has not ended. */
export type Placed = {
	/** Prompt tokens that the target has to read, as expected. */
	readonly newTokens: number;
	/** Tokens that it keeps in memory for the request at most. */
	readonly heldTokens: number;
	/** True until the first token. */
	readonly isReading: boolean;
	readonly sentMs: number;
};

export class TargetView {
	record: TargetRecord;
	/** Prompts of this VM that it has not begun to answer. */
	readonly lossDetector = new PromptLossDetector();
	/** Addresses are reused: true while this one answers for another process. */
	isMisdirected = false;
	/** Whether its answers say that it leaves, or those to another VM; until its next run. */
	#leavingSinceMs: number | undefined;
	/** Until then it wants nothing from this VM. */
	#heldOffUntilMs = -Infinity;
	readonly #speed = new TargetSpeed();
	readonly #placed = new Map<string, Placed>();
	readonly #started: SlidingCount = createSlidingCount(COLD_WINDOW_MS);
	#coldUntilMs: number;
	#heardMs: number;
	/**
	 * Present since all connections broke: the process may have been replaced by a cold
	 * one. It ends when the target's own answers show that it lives, or when its entry still
	 * names the same process after it would have lapsed or been replaced: a VM that may
	 * send nothing to a cold target gets no answers to learn from.
	 */
	#doubt: {readonly sinceMs: number; readonly answeredMs: number | undefined} | undefined;
	#failuresInRow = 0;
	#passOverUntilMs = -Infinity;
	#load: (LoadFigures & {readonly atMs: number; readonly own: number; readonly toThisVm: boolean}) | undefined;
	#readingTokens = 0;
	#heldTokens = 0;

	constructor(record: TargetRecord, nowMs: number) {
		this.record = record;
		this.#coldUntilMs = nowMs + record.coldRemainingMs;
		this.#heardMs = nowMs;
	}

	/** Reading of the clock at its last heartbeat here. */
	get heardMs(): number {
		return this.#heardMs;
	}

	/** Requests of this VM that run there. */
	get running(): number {
		return this.#placed.size;
	}

	/** Prompt tokens of this VM that the target still has to read. */
	get readingTokens(): number {
		return this.#readingTokens;
	}

	/** Tokens that it keeps for requests of this VM. */
	get heldTokens(): number {
		return this.#heldTokens;
	}

	get failuresInRow(): number {
		return this.#failuresInRow;
	}

	/** Takes in a heartbeat; true when it comes from another run of the target. */
	update(record: TargetRecord, nowMs: number): boolean {
		const restarted = record.bornMs !== this.record.bornMs || record.address !== this.record.address;
		const isNews = restarted || record.sequence !== this.record.sequence;
		this.record = record;
		if (restarted) {
			this.lossDetector.noteRestart();
			this.isMisdirected = false;
			this.#leavingSinceMs = undefined;
			this.#heldOffUntilMs = -Infinity;
			this.#doubt = undefined;
			this.#passOverUntilMs = nowMs;
			this.#failuresInRow = 0;
			this.#load = undefined;
		}

		if (isNews) {
			this.#heardMs = nowMs;
			this.#coldUntilMs = nowMs + record.coldRemainingMs;
		}

		return restarted;
	}

	get isLeaving(): boolean {
		return this.#leavingSinceMs !== undefined;
	}

	/** Whether its answers began to say so less than `forMs` ago. */
	hasBegunToLeave(forMs: number, nowMs: number): boolean {
		return this.#leavingSinceMs !== undefined && nowMs < this.#leavingSinceMs + forMs;
	}

	noteLeaving(nowMs: number): void {
		this.#leavingSinceMs ??= nowMs;
	}

	/** Milliseconds for which it still wants nothing from this VM; 0 when it takes requests. */
	backOffMs(nowMs: number): number {
		return Math.max(0, this.#heldOffUntilMs - nowMs);
	}

	noteHeldOff(forMs: number, nowMs: number): void {
		this.#heldOffUntilMs = Math.max(this.#heldOffUntilMs, nowMs + forMs);
	}

	isCold(nowMs: number): boolean {
		return this.#doubt !== undefined || nowMs < this.#coldUntilMs;
	}

	/** Whether its connections broke and no answer has shown since that it lives. */
	get isDoubtful(): boolean {
		return this.#doubt !== undefined && this.#doubt.answeredMs === undefined;
	}

	/** Whether a cold target may get one more request, of `limit` in a second. */
	hasColdCapacity(limit: number, nowMs: number): boolean {
		return this.#started.size(nowMs) < limit;
	}

	isPassedOver(nowMs: number): boolean {
		return nowMs < this.#passOverUntilMs;
	}

	/** Another VM says how long work takes there, in percent of the usual. */
	noteWork(percent: number | undefined, atMs: number): void {
		this.#speed.note(percent, atMs);
	}

	/** Time that work takes there now, as a multiple of the usual. */
	slowdown(nowMs: number): number {
		return this.#speed.slowdown(nowMs);
	}

	/** Requests of other VMs there, going by the last report. */
	othersRunning(nowMs: number): number {
		return this.#load && this.#load.atMs > nowMs - LOAD_VALID_MS
			? Math.max(0, this.#load.running + this.#load.waiting - this.#load.own)
			: 0;
	}

	/** Requests that wait there for their prompt to be read, going by the last report. */
	reportedWaiting(nowMs: number): number {
		return this.#load && this.#load.atMs > nowMs - LOAD_VALID_MS ? this.#load.waiting : 0;
	}

	place(grantId: string, placed: Placed, nowMs: number): void {
		this.#placed.set(grantId, placed);
		this.#readingTokens += placed.newTokens;
		this.#heldTokens += placed.heldTokens;
		this.#started.add(nowMs);
		if (placed.isReading) {
			// Output tokens only lengthen what a prompt is allowed to take.
			this.lossDetector.noteSent(grantId, {newTokens: placed.newTokens, promptTokens: placed.heldTokens}, nowMs);
		}
	}

	/** The prompt has been read; returns the request as it was. */
	noteFirstToken(grantId: string, nowMs: number): Placed | undefined {
		this.lossDetector.noteBegun(grantId, nowMs);
		const placed = this.#placed.get(grantId);
		if (!placed?.isReading) {
			return undefined;
		}

		this.#readingTokens -= placed.newTokens;
		this.#placed.set(grantId, {...placed, isReading: false});
		return placed;
	}

	end(grantId: string): void {
		this.lossDetector.noteEnded(grantId);
		const placed = this.#placed.get(grantId);
		if (!placed) {
			return;
		}

		this.#placed.delete(grantId);
		this.#heldTokens -= placed.heldTokens;
		if (placed.isReading) {
			this.#readingTokens -= placed.newTokens;
		}
	}

	/**
	 * Takes in what the target said of its load at a moment; the latest word counts.
	 *
	 * @param toThisVm - Whether it was said here, not to another VM.
	 */
	noteLoad(load: LoadFigures, atMs: number, toThisVm = true): void {
		this.lossDetector.noteActivity(atMs);
		this.#speed.note(load.workPercent, atMs);
		if (!this.#load || atMs >= this.#load.atMs) {
			this.#load = {
				...load, atMs, own: this.running, toThisVm,
			};
		}
	}

	/** What it said of its load to this VM since `sinceMs`. */
	loadSince(sinceMs: number): (LoadFigures & {readonly atMs: number}) | undefined {
		return this.#load?.toThisVm && this.#load.atMs > sinceMs ? this.#load : undefined;
	}

	noteAnswered(): void {
		this.#failuresInRow = 0;
	}

	noteFailed(nowMs: number): void {
		this.#passOverUntilMs = nowMs + Math.min(MAX_PASS_OVER_MS, PASS_OVER_MS * (2 ** this.#failuresInRow));
		this.#failuresInRow++;
	}

	/** All connections broke, or none can be opened: the process may come back cold. */
	noteUnreachable(nowMs: number): void {
		this.#doubt = {sinceMs: nowMs, answeredMs: undefined};
	}

	/** Its entry was read and names the same process as before. */
	noteEntryRead({coldStartMs, heartbeatMs}: DoubtTimes, nowMs: number): void {
		const lapsesMs = (heartbeatMs * LAPSE_HEARTBEATS) + LAPSE_MARGIN_MS;
		if (this.#doubt && nowMs >= this.#doubt.sinceMs + Math.max(lapsesMs, coldStartMs + DOUBT_MARGIN_MS)) {
			this.#doubt = undefined;
		}
	}

	/**
	 * The target has begun to answer. If it was replaced, that was before, so it is warm
	 * when the time of a cold start has passed since.
	 */
	noteAlive(coldStartMs: number, nowMs: number): void {
		if (this.#doubt?.answeredMs === undefined) {
			this.#doubt &&= {...this.#doubt, answeredMs: nowMs};
		} else if (nowMs >= this.#doubt.answeredMs + coldStartMs + DOUBT_MARGIN_MS) {
			this.#doubt = undefined;
		}
	}
}
