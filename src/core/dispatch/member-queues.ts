/** The queued requests of all teams at one VM, a member of a service's dispatch pool, with their limits, deadlines and retry delays. */
import {
	DeadlinePassed, DeadlineUnreachable, QueueFull, type RefusalData,
} from '../errors/refusals-data.js';
import {type ErrorDetails} from '../errors/jackdawwood-error.js';
import {RateMeter} from './rate-meter.js';
import {TeamQueue, type QueuedRequest} from './team-queue.js';
import {type DispatchRequest} from './types.js';

/** Number of recent starts of a team that are needed to predict its wait. */
const MIN_STARTS_FOR_PREDICTION = 5;
/** Time for which a team must have had waiting requests before its wait is predicted. */
const MIN_BACKLOG_FOR_PREDICTION_MS = 2000;
/** A waiting request is refused when its predicted wait exceeds the time to its deadline by this factor. */
const PREDICTION_MARGIN = 1.25;
/** Interval between two checks of the deadlines. */
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

/** Load of the whole pool, as the dispatcher stated it in its latest allotment of slots. */
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

	/** Queues the request, or refuses it when the queue is full or the deadline would pass before it starts. */
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

	/** Removes the team's oldest request, which now starts. */
	take(queue: TeamQueue, nowMs: number): QueuedRequest | undefined {
		const waiting = queue.start();
		if (waiting) {
			this.#startRateOf(queue.team, nowMs).meter.add(1, nowMs);
		}

		return waiting;
	}

	/** Returns the queue whose first request has waited longest. */
	oldest(): TeamQueue | undefined {
		let oldest: TeamQueue | undefined;
		for (const queue of this.#queues.values()) {
			if (queue.head && (!oldest?.head || queue.head.arrivedMs < oldest.head.arrivedMs)) {
				oldest = queue;
			}
		}

		return oldest;
	}

	/** Refuses the requests whose deadline has passed, or is predicted to pass before they start. */
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

	/** Returns the milliseconds until one more request of the team would start; undefined until measured. */
	#predictedWaitMs(queue: TeamQueue, nowMs: number): number | undefined {
		const startMs = this.#startIntervalMs(queue, nowMs);
		return startMs === undefined ? undefined : (queue.length + 1) * startMs;
	}

	/** Returns the mean interval between two starts of a waiting team; undefined until measured. */
	#startIntervalMs(queue: TeamQueue, nowMs: number): number | undefined {
		const {meter, backlogSinceMs} = this.#startRateOf(queue.team, nowMs);
		const isMeasured = queue.length > 0
			&& nowMs >= backlogSinceMs + MIN_BACKLOG_FOR_PREDICTION_MS
			&& meter.count(nowMs) >= MIN_STARTS_FOR_PREDICTION;
		return isMeasured ? 1000 / meter.perSecond(nowMs) : undefined;
	}

	/** Returns the retry delay for a refused caller: the team's predicted wait, else that of the whole pool. */
	#retryAfterMs(queue: TeamQueue, nowMs: number): number {
		const {queued, drainPerS} = this.#poolLoad;
		const poolWaitMs = drainPerS > 0 ? queued * 1000 / drainPerS : DEFAULT_RETRY_AFTER_MS;
		const waitMs = this.#predictedWaitMs(queue, nowMs) ?? poolWaitMs;
		return Math.round(Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs)));
	}
}
