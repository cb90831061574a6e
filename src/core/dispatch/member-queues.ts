/** All teams' waiting asks at one member: who may wait, for how long, and when to come back. */
import {
	DeadlinePassed, DeadlineUnreachable, QueueFull, type RefusalData,
} from '../errors/refusals-data.js';
import {type ErrorDetails} from '../errors/jackdawwood-error.js';
import {RateMeter} from './rate-meter.js';
import {TeamQueue, type QueuedRequest} from './team-queue.js';
import {type DispatchRequest} from './types.js';

/** Starts needed before a team's rate is used to predict its wait. */
const MIN_STARTS_FOR_PREDICTION = 5;
/** Time for which a team must have waited before its rate predicts its wait. */
const MIN_BACKLOG_FOR_PREDICTION_MS = 2000;
/** A waiting ask is given up when its predicted wait exceeds the time left by this factor. */
const PREDICTION_MARGIN = 1.25;
/** Time between two looks at the deadlines. */
const EXPIRE_INTERVAL_MS = 50;
const DEFAULT_RETRY_AFTER_MS = 1000;
const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 30_000;

export type RefuseEffect = {
	readonly kind: 'refuse';
	readonly request: DispatchRequest;
	readonly refusal: RefusalData;
	readonly details: ErrorDetails;
	readonly retryAfterMs: number;
};

/** What the dispatcher told last about the whole pool. */
export type PoolLoad = {readonly queued: number; readonly drainPerS: number};

type StartRate = {readonly meter: RateMeter; backlogSinceMs: number};

export class MemberQueues {
	readonly #maxQueuedOf: (team: string) => number;
	readonly #queues = new Map<string, TeamQueue>();
	readonly #startRates = new Map<string, StartRate>();
	#lastExpiryMs = -Infinity;
	#poolLoad: PoolLoad = {queued: 0, drainPerS: 0};

	constructor(maxQueuedOf: (team: string) => number) {
		this.#maxQueuedOf = maxQueuedOf;
	}

	get queued(): number {
		let queued = 0;
		for (const queue of this.#queues.values()) {
			queued += queue.length;
		}

		return queued;
	}

	all(): readonly TeamQueue[] {
		return [...this.#queues.values()];
	}

	of(team: string): TeamQueue {
		const known = this.#queues.get(team);
		if (known) {
			return known;
		}

		const queue = new TeamQueue(team);
		this.#queues.set(team, queue);
		return queue;
	}

	setPoolLoad(load: PoolLoad): void {
		this.#poolLoad = load;
	}

	/** Lets the ask wait, or refuses it at once when that cannot help. */
	add(request: DispatchRequest, nowMs: number): RefuseEffect | undefined {
		const queue = this.of(request.team);
		const limit = this.#maxQueuedOf(request.team);
		if (queue.length >= limit) {
			return this.#refuse(request, QueueFull, {limit}, nowMs);
		}

		const waitMs = this.#predictedWaitMs(queue, nowMs);
		if (waitMs !== undefined && nowMs + waitMs > request.deadlineMs) {
			return this.#refuse(request, DeadlineUnreachable, {waitMs: Math.round(waitMs)}, nowMs);
		}

		if (queue.length === 0) {
			this.#startRateOf(request.team, nowMs).backlogSinceMs = nowMs;
			this.#startRateOf(request.team, nowMs).meter.reset(nowMs);
		}

		queue.push(request, nowMs);
		return undefined;
	}

	/** Takes the team's oldest ask out, to be started. */
	take(queue: TeamQueue, nowMs: number): QueuedRequest | undefined {
		const waiting = queue.start();
		if (waiting) {
			this.#startRateOf(queue.team, nowMs).meter.add(1, nowMs);
		}

		return waiting;
	}

	/** The queue whose first ask has waited longest. */
	oldest(): TeamQueue | undefined {
		let oldest: TeamQueue | undefined;
		for (const queue of this.#queues.values()) {
			if (queue.head && (!oldest?.head || queue.head.arrivedMs < oldest.head.arrivedMs)) {
				oldest = queue;
			}
		}

		return oldest;
	}

	/** Refuses the asks whose deadline has passed, or will have passed before their turn. */
	expire(nowMs: number): readonly RefuseEffect[] {
		if (nowMs < this.#lastExpiryMs + EXPIRE_INTERVAL_MS) {
			return [];
		}

		this.#lastExpiryMs = nowMs;
		return this.all().flatMap(queue => this.#expireQueue(queue, nowMs));
	}

	#expireQueue(queue: TeamQueue, nowMs: number): readonly RefuseEffect[] {
		const startMs = this.#startIntervalMs(queue, nowMs);
		const waitAt = (position: number) => startMs === undefined ? 0 : (position + 1) * startMs;
		const passed = queue.removeWhere(({request}) => request.deadlineMs <= nowMs);
		const unreachable = queue.removeWhere(({request}, position) => waitAt(position) > (request.deadlineMs - nowMs) * PREDICTION_MARGIN);
		return [
			...passed.map(({request}) => this.#refuse(request, DeadlinePassed, {}, nowMs)),
			...unreachable.map(({request}) => this.#refuse(request, DeadlineUnreachable, {waitMs: Math.round(waitAt(queue.length))}, nowMs)),
		];
	}

	#startRateOf(team: string, nowMs: number): StartRate {
		const known = this.#startRates.get(team);
		if (known) {
			return known;
		}

		const rate = {meter: new RateMeter(nowMs), backlogSinceMs: nowMs};
		this.#startRates.set(team, rate);
		return rate;
	}

	#refuse(request: DispatchRequest, refusal: RefusalData, details: ErrorDetails, nowMs: number): RefuseEffect {
		return {
			kind: 'refuse', request, refusal, details, retryAfterMs: this.#retryAfterMs(this.of(request.team), nowMs),
		};
	}

	/** Milliseconds until one more ask of the team would start, where that can be told. */
	#predictedWaitMs(queue: TeamQueue, nowMs: number): number | undefined {
		const startMs = this.#startIntervalMs(queue, nowMs);
		return startMs === undefined ? undefined : (queue.length + 1) * startMs;
	}

	/** Milliseconds between two starts of a waiting team; undefined until measured. */
	#startIntervalMs(queue: TeamQueue, nowMs: number): number | undefined {
		const {meter, backlogSinceMs} = this.#startRateOf(queue.team, nowMs);
		const isMeasured = queue.length > 0
			&& nowMs >= backlogSinceMs + MIN_BACKLOG_FOR_PREDICTION_MS
			&& meter.count(nowMs) >= MIN_STARTS_FOR_PREDICTION;
		return isMeasured ? 1000 / meter.perSecond(nowMs) : undefined;
	}

	#retryAfterMs(queue: TeamQueue, nowMs: number): number {
		const {queued, drainPerS} = this.#poolLoad;
		const poolWaitMs = drainPerS > 0 ? queued * 1000 / drainPerS : DEFAULT_RETRY_AFTER_MS;
		const waitMs = this.#predictedWaitMs(queue, nowMs) ?? poolWaitMs;
		return Math.round(Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs)));
	}
}
