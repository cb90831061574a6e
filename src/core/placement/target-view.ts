/**
 * State of one target as this VM sees it: the unfinished requests of this VM, the load that
 * the target's responses report, whether it is cold, and whether it has failed recently.
 */
import {type ReportedLoad} from '../dispatch/types.js';
import {type TargetRecord} from '../routing/types.js';
import {PrefillPace} from './prefill-pace.js';
import {PromptLossDetector} from './prompt-loss.js';
import {createSlidingCount, type SlidingCount} from './sliding-count.js';
import {TargetSpeed} from './target-speed.js';

/** Milliseconds for which reported load figures are used. */
const LOAD_VALID_MS = 2000;
/** Sliding window for the request rate of a cold target, in milliseconds. The limit holds for each second; the window is a little longer because of network jitter. */
const COLD_WINDOW_MS = 1100;
/** Milliseconds for which a target is skipped after its first failure in a row; the time doubles with each further one. */
const FIRST_SKIP_MS = 250;
/** Most milliseconds for which a target is skipped after failures. */
const MAX_SKIP_MS = 2000;
/** Milliseconds added to the time for which a suspect target may be cold. They cover the network latency of its responses. */
const SUSPECT_MARGIN_MS = 500;
/** Missing heartbeats after which the entry of a target expires. */
const EXPIRY_HEARTBEATS = 3;
/** Milliseconds from the expiry of an entry until this VM sees it. They cover the latency of the heartbeats and the time between reads of the entries. */
const EXPIRY_MARGIN_MS = 2000;

/** Times that decide how long a target whose connections broke counts as suspect. */
export type SuspectTimes = {
	/** Milliseconds for which a target is cold after its start. */
	readonly coldStartMs: number;
	/** Milliseconds between heartbeats of a target. */
	readonly heartbeatMs: number;
};

/** Load figures that a target reports for the requests of all VMs. */
export type LoadFigures = Pick<ReportedLoad, 'running' | 'waiting' | 'workPercent'>;

/** An unfinished request of this VM at the target. */
export type PlacedRequest = {
	/** Prompt tokens that the target is expected to prefill. */
	readonly newTokens: number;
	/** Tokens of KV cache that the request occupies at most. */
	readonly heldTokens: number;
	/** Whether the prompt is not prefilled yet: true until the first token. */
	readonly isReading: boolean;
	/** Predicted milliseconds to first token at an engine of the service's average speed. */
	readonly predictedMs: number;
	readonly sentMs: number;
};

export class TargetView {
	record: TargetRecord;
	/** Times to first token of this VM's prompts, relative to their predictions. */
	readonly prefillPace = new PrefillPace();
	/** Detects losses among the prompts of this VM that have no first token yet. */
	readonly lossDetector = new PromptLossDetector();
	/** Whether another process responds at the target's address. This happens because addresses are reused. */
	isMisdirected = false;
	/** Time at which this VM learned that the target leaves, from a response to this VM or to another. It is cleared when another process replaces the target's. */
	#leavingSinceMs: number | undefined;
	/** End of the time for which the target asked this VM to send nothing. */
	#backOffUntilMs = -Infinity;
	readonly #speed = new TargetSpeed();
	readonly #requests = new Map<string, PlacedRequest>();
	readonly #started: SlidingCount = createSlidingCount(COLD_WINDOW_MS);
	#coldUntilMs: number;
	#lastHeartbeatMs: number;
	/**
	 * Present while the target is suspect: all connections broke, so the process may have
	 * been replaced by a cold one. The suspicion is cleared when the target's responses show that
	 * it is alive and warm. It is also cleared when the target's entry still names the same
	 * process although the entry of a dead one would have expired by now. A VM that may send
	 * nothing to a cold target gets no responses and depends on the entry.
	 */
	#suspicion: {readonly sinceMs: number; readonly respondedMs: number | undefined} | undefined;
	#failuresInRow = 0;
	#skipUntilMs = -Infinity;
	#load: (LoadFigures & {readonly atMs: number; readonly ownRunning: number; readonly toThisVm: boolean}) | undefined;
	#readingTokens = 0;
	#heldTokens = 0;

	constructor(record: TargetRecord, nowMs: number) {
		this.record = record;
		this.#coldUntilMs = nowMs + record.coldRemainingMs;
		this.#lastHeartbeatMs = nowMs;
	}

	/** Monotonic time at which this VM saw the target's last heartbeat. */
	get lastHeartbeatMs(): number {
		return this.#lastHeartbeatMs;
	}

	/** Number of unfinished requests of this VM at the target. */
	get running(): number {
		return this.#requests.size;
	}

	/** Prompt tokens of this VM's requests that the target has not prefilled yet. */
	get readingTokens(): number {
		return this.#readingTokens;
	}

	/** Tokens of KV cache that the requests of this VM occupy at most. */
	get heldTokens(): number {
		return this.#heldTokens;
	}

	get failuresInRow(): number {
		return this.#failuresInRow;
	}

	/** Applies the target's entry; returns whether it comes from another process. */
	update(record: TargetRecord, nowMs: number): boolean {
		const isReplaced = record.bornMs !== this.record.bornMs || record.address !== this.record.address;
		const isNewHeartbeat = isReplaced || record.sequence !== this.record.sequence;
		this.record = record;
		if (isReplaced) {
			this.lossDetector.noteReplaced();
			this.isMisdirected = false;
			this.#leavingSinceMs = undefined;
			this.#backOffUntilMs = -Infinity;
			this.#suspicion = undefined;
			this.#skipUntilMs = nowMs;
			this.#failuresInRow = 0;
			this.#load = undefined;
		}

		if (isNewHeartbeat) {
			this.#lastHeartbeatMs = nowMs;
			this.#coldUntilMs = nowMs + record.coldRemainingMs;
		}

		return isReplaced;
	}

	get isLeaving(): boolean {
		return this.#leavingSinceMs !== undefined;
	}

	/** Whether this VM learned less than `forMs` ago that the target leaves. */
	beganToLeaveWithin(forMs: number, nowMs: number): boolean {
		return this.#leavingSinceMs !== undefined && nowMs < this.#leavingSinceMs + forMs;
	}

	noteLeaving(nowMs: number): void {
		this.#leavingSinceMs ??= nowMs;
	}

	/** Returns the remaining milliseconds for which the target asked this VM to send nothing; 0 when it accepts requests. */
	backOffMs(nowMs: number): number {
		return Math.max(0, this.#backOffUntilMs - nowMs);
	}

	noteBackOff(forMs: number, nowMs: number): void {
		this.#backOffUntilMs = Math.max(this.#backOffUntilMs, nowMs + forMs);
	}

	isCold(nowMs: number): boolean {
		return this.#suspicion !== undefined || nowMs < this.#coldUntilMs;
	}

	/** Whether the target's connections broke, and no response since then shows that it is alive. */
	get isSuspect(): boolean {
		return this.#suspicion !== undefined && this.#suspicion.respondedMs === undefined;
	}

	/** Whether a cold target may receive one more request of this VM, at `limit` requests per second. */
	hasColdCapacity(limit: number, nowMs: number): boolean {
		return this.#started.size(nowMs) < limit;
	}

	isSkipped(nowMs: number): boolean {
		return nowMs < this.#skipUntilMs;
	}

	/** Records the time that work takes at the target, in percent of the typical time, as another VM reports it. */
	noteWorkPercent(percent: number | undefined, atMs: number): void {
		this.#speed.note(percent, atMs);
	}

	/** Returns the time that work takes at the target now, as a multiple of the typical time. */
	slowdown(nowMs: number): number {
		return this.#speed.slowdown(nowMs);
	}

	/** Returns the requests of other VMs at the target by its last load figures; 0 when these are too old. */
	othersRunning(nowMs: number): number {
		return this.#load && this.#load.atMs > nowMs - LOAD_VALID_MS
			? Math.max(0, this.#load.running + this.#load.waiting - this.#load.ownRunning)
			: 0;
	}

	/** Returns the requests that wait at the target for their prefill by its last load figures; 0 when these are too old. */
	reportedWaiting(nowMs: number): number {
		return this.#load && this.#load.atMs > nowMs - LOAD_VALID_MS ? this.#load.waiting : 0;
	}

	place(grantId: string, placed: PlacedRequest, nowMs: number): void {
		this.#requests.set(grantId, placed);
		this.#readingTokens += placed.newTokens;
		this.#heldTokens += placed.heldTokens;
		this.#started.add(nowMs);
		if (placed.isReading) {
			// `heldTokens` also counts the output tokens. They only lengthen the time after which the prompt counts as lost.
			this.lossDetector.noteSent(grantId, {newTokens: placed.newTokens, promptTokens: placed.heldTokens}, nowMs);
		}
	}

	/** Records the first token, which ends the prefill; returns the request as it was before, or undefined when it was not in prefill. */
	noteFirstToken(grantId: string, nowMs: number): PlacedRequest | undefined {
		this.lossDetector.noteFirstChunk(grantId, nowMs);
		const placed = this.#requests.get(grantId);
		if (!placed?.isReading) {
			return undefined;
		}

		this.#readingTokens -= placed.newTokens;
		this.#requests.set(grantId, {...placed, isReading: false});
		return placed;
	}

	end(grantId: string): void {
		this.lossDetector.noteEnded(grantId);
		const placed = this.#requests.get(grantId);
		if (!placed) {
			return;
		}

		this.#requests.delete(grantId);
		this.#heldTokens -= placed.heldTokens;
		if (placed.isReading) {
			this.#readingTokens -= placed.newTokens;
		}
	}

	/**
	 * Records load figures that the target sent at `atMs`, unless newer ones are known.
	 *
	 * @param toThisVm - Whether the target sent them to this VM, not to another one.
	 */
	noteLoad(load: LoadFigures, atMs: number, toThisVm = true): void {
		this.lossDetector.noteActivity(atMs);
		this.#speed.note(load.workPercent, atMs);
		if (!this.#load || atMs >= this.#load.atMs) {
			this.#load = {
				...load, atMs, ownRunning: this.running, toThisVm,
			};
		}
	}

	/** Returns the last load figures when the target sent them to this VM after `sinceMs`. */
	loadSince(sinceMs: number): (LoadFigures & {readonly atMs: number}) | undefined {
		return this.#load?.toThisVm && this.#load.atMs > sinceMs ? this.#load : undefined;
	}

	noteAnswered(): void {
		this.#failuresInRow = 0;
	}

	noteFailed(nowMs: number): void {
		this.#skipUntilMs = nowMs + Math.min(MAX_SKIP_MS, FIRST_SKIP_MS * (2 ** this.#failuresInRow));
		this.#failuresInRow++;
	}

	/** Records that all connections broke, or that none can be opened. The process may have been replaced by a cold one. */
	noteUnreachable(nowMs: number): void {
		this.#suspicion = {sinceMs: nowMs, respondedMs: undefined};
	}

	/** Records that the target's entry was read and names the same process as before. */
	noteEntryRead({coldStartMs, heartbeatMs}: SuspectTimes, nowMs: number): void {
		const expiryMs = (heartbeatMs * EXPIRY_HEARTBEATS) + EXPIRY_MARGIN_MS;
		if (this.#suspicion && nowMs >= this.#suspicion.sinceMs + Math.max(expiryMs, coldStartMs + SUSPECT_MARGIN_MS)) {
			this.#suspicion = undefined;
		}
	}

	/**
	 * Records that the target responds. If its process was replaced, that happened before the
	 * first response, so the target is warm once the time of a cold start has passed since then.
	 */
	noteAlive(coldStartMs: number, nowMs: number): void {
		if (this.#suspicion?.respondedMs === undefined) {
			this.#suspicion &&= {...this.#suspicion, respondedMs: nowMs};
		} else if (nowMs >= this.#suspicion.respondedMs + coldStartMs + SUSPECT_MARGIN_MS) {
			this.#suspicion = undefined;
		}
	}
}
