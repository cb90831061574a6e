/**
 * Queue of one service's requests at one VM, in two tiers: requests whose responses can still
 * come within the latency target, and behind them late ones whose callers still wait.
 *
 * Load pattern: demand above the capacity of the targets, in waves and bursts of some seconds,
 * from callers that wait for seconds and for whom a late response has some value left. Requests
 * in time have precedence, so late ones don't delay them; late ones get the capacity that is
 * left when a wave is over. A request that will not be dispatched before its caller gives up is
 * refused on arrival, since a refusal after a wait is worth less than an immediate one.
 */
import {costAhead} from './cost-ahead.js';
import {startInOrder} from './dispatch-order.js';
import {createDrainRate} from './drain-rate.js';
import {createKindStartRates} from './kind-start-rates.js';
import {createLateStartRate} from './late-start-rate.js';
import {createRetryDelays, type RetryDelays} from './retry-delay.js';
import {priorityOf, TeamQueues, type QueuedRequest} from './team-queues.js';
import {type PlacementRequest} from './types.js';
import {createUrgency} from './urgency.js';
import {inTimeEndMs, latestStartMs} from './waiting-times.js';

/** Least milliseconds between two checks of whether the late requests will be dispatched before their callers give up; the drain rate changes little in a shorter time. */
const LATE_CHECK_INTERVAL_MS = 100;
/** Milliseconds between dispatch rounds of late requests: a tenth of the shortest time for which callers wait. Each attempt costs processor time and, with model engines, a message to another VM. */
const LATE_ROUND_INTERVAL_MS = 200;
/** Share of a request's remaining time in the first tier within which its predicted dispatch has to lie to count as certain. The rest is a margin, since requests of teams with less usage are dispatched before it meanwhile. */
const SAFE_WAIT_SHARE = 0.5;

/** Priority of requests of a starved kind. Requests with the lowest number are dispatched first. */
const STARVED_PRIORITY = -1;

export type Tier = 'in-time' | 'late';

/** State of the queue when a request entered it, for the log. */
export type QueueSnapshot = {
	readonly tier: Tier;
	/** Number of requests in the tier. */
	readonly position: number;
	/** Cost of the queued requests that are dispatched before it. */
	readonly costAhead: number;
	/** Drain rate of the tier, as cost started per millisecond; undefined while unknown. */
	readonly costPerMs: number | undefined;
};

/** A request that is not admitted to the queue, or leaves it without a target. */
export type QueueRejection = {
	readonly request: PlacementRequest;
	readonly reason: 'too-late' | 'no-turn';
	readonly queue: QueueSnapshot | undefined;
};

export type ServiceQueueOptions = {
	/** Whether late requests are queued in a second tier, and requests that will not be dispatched before their callers give up are refused early. */
	readonly isTiered: () => boolean;
	/** Returns the share of the latency target for which a request stays in the first tier; undefined for the default. */
	readonly inTimeShareOf: (request: PlacementRequest) => number | undefined;
	/** Returns the expected milliseconds from the start of a request to the first chunk of its response. */
	readonly firstChunkMsOf: (request: PlacementRequest) => number;
	readonly costOf: (request: PlacementRequest) => number;
	/** Returns the recent usage of a team. */
	readonly usageOf: (team: string, nowMs: number) => number;
	/** Returns a random number, uniform in [0, 1). */
	readonly random: () => number;
};

export type DispatchRound = {
	/** Usage above which this VM starts no more requests of a team, so that teams at other VMs have precedence. */
	readonly usageCeiling: number;
	/** Whether a request must not be attempted now. */
	readonly isPaused: (request: PlacementRequest) => boolean;
	/** Starts a request; returns false when no target accepts it. */
	readonly tryStart: (request: PlacementRequest, tier: Tier) => boolean;
};

const createTier = () => ({queues: new TeamQueues(), drain: createDrainRate()});

export class ServiceQueue {
	readonly #options: ServiceQueueOptions;
	readonly #tiers = {'in-time': createTier(), late: createTier()};
	readonly #snapshots = new Map<string, QueueSnapshot>();
	readonly #retryDelays: RetryDelays;
	readonly #kindStartRates = createKindStartRates();
	readonly #urgency = createUrgency();
	readonly #lateStartRate = createLateStartRate();
	#lateCheckedMs = -Infinity;
	#lateAttemptedMs = -Infinity;
	#lateExpiredMs = -Infinity;

	constructor(options: ServiceQueueOptions) {
		this.#options = options;
		this.#retryDelays = createRetryDelays(options.random);
	}

	get size(): number {
		return this.#tiers['in-time'].queues.size + this.#tiers.late.queues.size;
	}

	get isEmpty(): boolean {
		return this.#tiers['in-time'].queues.isEmpty && this.#tiers.late.queues.isEmpty;
	}

	sizeOf(tier: Tier): number {
		return this.#tiers[tier].queues.size;
	}

	/** Yields the queued requests of each lane (of one team, priority and kind), with the team. */
	* waiting(): Iterable<{readonly team: string; readonly requests: readonly QueuedRequest[]}> {
		for (const {queues} of Object.values(this.#tiers)) {
			for (const {team, waiting} of queues.lanes()) {
				yield {team, requests: waiting};
			}
		}
	}

	tierOf(request: PlacementRequest, nowMs: number): Tier {
		return this.#options.isTiered() && nowMs >= this.#inTimeEndMs(request) ? 'late' : 'in-time';
	}

	/** Whether a tier and those with precedence over it are empty. */
	isEmptyUpTo(tier: Tier): boolean {
		return tier === 'in-time' ? this.#tiers['in-time'].queues.isEmpty : this.isEmpty;
	}

	/** Whether a request that starts now, at any target, would be answered only after its caller has given up. */
	isTooLate(request: PlacementRequest, nowMs: number): boolean {
		return this.#options.isTiered() && nowMs >= this.#latestStartMs(request);
	}

	/** Queues a new request, or returns a rejection if it will not be dispatched before its caller gives up. */
	admit(request: PlacementRequest, nowMs: number): QueueRejection | undefined {
		if (!this.#options.isTiered()) {
			this.add(request, nowMs);
			return undefined;
		}

		this.#updateDrainRates(nowMs);
		const tier = this.tierOf(request, nowMs);
		const snapshot = this.#snapshotOf(request, tier, nowMs);
		if (this.isTooLate(request, nowMs)) {
			return {request, reason: 'too-late', queue: snapshot};
		}

		if (!this.#canBeDispatched(request, snapshot, nowMs)) {
			return {request, reason: 'no-turn', queue: snapshot};
		}

		this.#snapshots.set(request.requestId, snapshot);
		this.#insert(request, tier);
		return undefined;
	}

	/** Queues a request without admission control: in a small fleet, or because it was admitted before. */
	add(request: PlacementRequest, nowMs: number): void {
		this.#updateDrainRates(nowMs);
		this.#insert(request, this.tierOf(request, nowMs));
	}

	/** Records the arrival of a request, for the start rate of its kind. */
	noteArrival({kind = ''}: PlacementRequest, nowMs: number): void {
		this.#kindStartRates.noteArrival(kind, nowMs);
	}

	/** Returns the priority of a request or a lane; that of a starved kind comes before all others. */
	priorityOf(of: Pick<PlacementRequest, 'kind' | 'priority'>, nowMs: number): number {
		return this.#kindStartRates.isStarved(of.kind ?? '', nowMs) ? STARVED_PRIORITY : priorityOf(of);
	}

	/** Whether a request yields to others: it is late, or more urgent ones had to wait recently and its kind is not starved. */
	givesWay(request: PlacementRequest, tier: Tier, nowMs: number): boolean {
		return tier === 'late' || (this.#urgency.givesWay(priorityOf(request), nowMs) && !this.#kindStartRates.isStarved(request.kind ?? '', nowMs));
	}

	/** Removes a request if it is queued. */
	remove(requestId: string): void {
		this.#snapshots.delete(requestId);
		if (!this.#tiers['in-time'].queues.remove(requestId)) {
			this.#tiers.late.queues.remove(requestId);
		}
	}

	/** Removes the requests that match, and returns them as rejections. */
	removeAll(matches: (request: PlacementRequest) => boolean): readonly QueueRejection[] {
		return Object.values(this.#tiers).flatMap(({queues}) => queues.removeAll(matches).map(({request}) => this.#reject(request, 'too-late')));
	}

	/** Records the start of a request; returns the state of the queue when the request entered it, if it was queued. */
	noteStarted(request: PlacementRequest, nowMs: number): QueueSnapshot | undefined {
		const snapshot = this.#snapshots.get(request.requestId);
		this.#snapshots.delete(request.requestId);
		this.#kindStartRates.noteStarted(request.kind ?? '', nowMs);
		if (snapshot !== undefined || !this.isEmpty) {
			this.#updateDrainRates(nowMs);
			const tier = this.tierOf(request, nowMs);
			this.#tiers[tier].drain.noteStarted(this.#options.costOf(request));
			if (tier === 'late') {
				this.#lateStartRate.noteStarted(nowMs);
			}
		}

		return snapshot;
	}

	/** Moves requests that have become late to the second tier; rejects those whose callers have given up or will do so before the dispatch. */
	expire(nowMs: number): readonly QueueRejection[] {
		this.#updateDrainRates(nowMs);
		const rejected: QueueRejection[] = [];
		for (const {request} of this.#tiers['in-time'].queues.removeAll(waiting => nowMs >= this.#inTimeEndMs(waiting))) {
			const rejection = this.#options.isTiered() ? this.#moveToLate(request, nowMs) : this.#reject(request, 'too-late');
			if (rejection) {
				rejected.push(rejection);
			}
		}

		const {queues} = this.#tiers.late;
		if (!queues.isEmpty && nowMs >= this.#lateExpiredMs + LATE_ROUND_INTERVAL_MS) {
			this.#lateExpiredMs = nowMs;
			rejected.push(...queues.removeAll(request => nowMs >= this.#latestStartMs(request)).map(({request}) => this.#rejectLate(request, 'too-late', nowMs)));
			if (nowMs >= this.#lateCheckedMs + LATE_CHECK_INTERVAL_MS) {
				this.#lateCheckedMs = nowMs;
				rejected.push(...this.#rejectUndispatchable(nowMs));
			}
		}

		return rejected;
	}

	/** Whether a dispatch round is due. */
	isDue(nowMs: number): boolean {
		return !this.#tiers['in-time'].queues.isEmpty || (!this.#tiers.late.queues.isEmpty && nowMs >= this.#lateAttemptedMs + LATE_ROUND_INTERVAL_MS);
	}

	/** Offers the queued requests to the targets, late ones after those in time. */
	dispatch({usageCeiling, isPaused, tryStart}: DispatchRound, nowMs: number): void {
		const {usageOf, isTiered} = this.#options;
		for (const tier of ['in-time', 'late'] as const) {
			const {queues} = this.#tiers[tier];
			for (const {priority, waiting: [first]} of queues.lanes()) {
				if (tier === 'in-time' && first) {
					this.#urgency.noteWait(priority, nowMs - first.request.arrivedMs, nowMs);
				}
			}

			if (queues.isEmpty || (tier === 'late' && !this.#mayAttemptLate(nowMs))) {
				continue;
			}

			startInOrder(queues.lanes(), {
				priorityOf: lane => this.priorityOf(lane, nowMs),
				usageOf: team => usageOf(team, nowMs),
				usageCeiling,
				triesSmaller: isTiered(),
				isPaused: ({request}) => isPaused(request),
				tryStart({request}) {
					const hasStarted = tryStart(request, tier);
					if (hasStarted) {
						queues.remove(request.requestId);
					}

					return hasStarted;
				},
			});
		}
	}

	/**
	 * Returns the milliseconds after which a refused caller is expected to find capacity.
	 *
	 * @param backlogMs - Time that the targets need for the requests they were sent; used while the queue's drain rate is unknown.
	 */
	retryAfterMs(request: PlacementRequest, backlogMs: number, nowMs: number): number {
		const {queues, drain} = this.#tiers['in-time'];
		const costPerMs = drain.costPerMs();
		return this.#retryDelays.next({
			drainMs: this.#timeToDispatchMs(this.#queuedCost(queues), 'in-time') ?? backlogMs,
			perRequestMs: costPerMs === undefined ? 0 : this.#options.costOf(request) / costPerMs,
			remainingMs: request.deadlineMs - nowMs,
		}, nowMs);
	}

	/** Begins a dispatch round of late requests if one is due. While requests in time are queued, no capacity is left for late ones. */
	#mayAttemptLate(nowMs: number): boolean {
		if (!this.#tiers['in-time'].queues.isEmpty || nowMs < this.#lateAttemptedMs + LATE_ROUND_INTERVAL_MS) {
			return false;
		}

		this.#lateAttemptedMs = nowMs;
		return true;
	}

	#reject(request: PlacementRequest, reason: QueueRejection['reason']): QueueRejection {
		const queue = this.#snapshots.get(request.requestId);
		this.#snapshots.delete(request.requestId);
		return {request, reason, queue};
	}

	/** Rejects a late request that was queued. */
	#rejectLate(request: PlacementRequest, reason: QueueRejection['reason'], nowMs: number): QueueRejection {
		this.#lateStartRate.noteRejected(nowMs);
		return this.#reject(request, reason);
	}

	#inTimeEndMs(request: PlacementRequest): number {
		return inTimeEndMs(request, this.#options.inTimeShareOf(request));
	}

	#latestStartMs(request: PlacementRequest): number {
		return latestStartMs(request, this.#options.firstChunkMsOf(request));
	}

	#queuedCost(queues: TeamQueues): number {
		let cost = 0;
		for (const lane of queues.lanes()) {
			cost += lane.cost;
		}

		return cost;
	}

	#updateDrainRates(nowMs: number): void {
		const isOverloaded = !this.isEmpty;
		for (const {queues, drain} of Object.values(this.#tiers)) {
			drain.update({isBacklogged: !queues.isEmpty, isOverloaded}, nowMs);
		}
	}

	#insert(request: PlacementRequest, tier: Tier): void {
		this.#tiers[tier].queues.add({request, cost: this.#options.costOf(request), orderMs: this.#orderMs(request, tier)});
	}

	/** Returns the time that orders a team's requests. In time: least slack first. Late: earliest deadline first, so that retries have precedence over new requests. */
	#orderMs(request: PlacementRequest, tier: Tier): number {
		const {deadlineMs, arrivedMs, firstAttemptMs = arrivedMs, targetLatencyMs} = request;
		if (tier === 'late') {
			return deadlineMs;
		}

		return this.#options.isTiered()
			? Math.min(firstAttemptMs, arrivedMs) + targetLatencyMs - this.#options.firstChunkMsOf(request)
			: arrivedMs + targetLatencyMs;
	}

	#snapshotOf(request: PlacementRequest, tier: Tier, nowMs: number): QueueSnapshot {
		const {queues, drain} = this.#tiers[tier];
		return {
			tier, position: queues.size, costAhead: this.#costAhead(request, tier, nowMs), costPerMs: drain.costPerMs(),
		};
	}

	#costAhead(request: PlacementRequest, tier: Tier, nowMs: number): number {
		const {queues} = this.#tiers[tier];
		const priority = priorityOf(request);
		const orderMs = this.#orderMs(request, tier);
		let ownCost = 0;
		for (const lane of queues.lanes()) {
			if (lane.team === request.team && lane.priority === priority) {
				for (const other of lane.waiting) {
					if (other.orderMs > orderMs) {
						break;
					}

					ownCost += other.cost;
				}
			}
		}

		return costAhead({team: request.team, priority, ownCost}, queues.lanes(), team => this.#options.usageOf(team, nowMs));
	}

	/** Whether a request is expected to be dispatched before its caller gives up, in its tier or in the next one. While drain rates are unknown, no request is refused. */
	#canBeDispatched(request: PlacementRequest, snapshot: QueueSnapshot, nowMs: number): boolean {
		const remainingMs = this.#latestStartMs(request) - nowMs;
		if (snapshot.tier === 'late') {
			return (this.#tiers.late.queues.isEmpty || this.#lateStartRate.isWaitWorthwhile(nowMs)) && this.#isDispatchedWithin(snapshot.costAhead, 'late', remainingMs);
		}

		const inTimeLeftMs = this.#inTimeEndMs(request) - nowMs;
		return this.#isDispatchedWithin(snapshot.costAhead, 'in-time', inTimeLeftMs * SAFE_WAIT_SHARE)
			|| this.#isDispatchedWithin(this.#costAhead(request, 'late', nowMs), 'late', remainingMs - inTimeLeftMs);
	}

	#isDispatchedWithin(cost: number, tier: Tier, ms: number): boolean {
		const timeToDispatchMs = this.#timeToDispatchMs(cost, tier);
		return timeToDispatchMs === undefined || timeToDispatchMs <= ms;
	}

	/** Returns the predicted milliseconds until requests of a total cost have been dispatched. For a late tier that is stalled, the rate of the first tier is assumed, at which it may drain once the overload is over. */
	#timeToDispatchMs(cost: number, tier: Tier): number | undefined {
		const {'in-time': inTime, late} = this.#tiers;
		return tier === 'late' ? late.drain.timeToDispatchMs(cost, inTime.drain.costPerMs()) : inTime.drain.timeToDispatchMs(cost);
	}

	#moveToLate(request: PlacementRequest, nowMs: number): QueueRejection | undefined {
		if (nowMs >= this.#latestStartMs(request)) {
			return this.#reject(request, 'too-late');
		}

		const snapshot = this.#snapshotOf(request, 'late', nowMs);
		if (!this.#canBeDispatched(request, snapshot, nowMs)) {
			return this.#reject(request, 'no-turn');
		}

		this.#snapshots.set(request.requestId, snapshot);
		this.#insert(request, 'late');
		return undefined;
	}

	/** Rejects the late requests that will not be dispatched before their callers give up, beginning with the least urgent ones and the teams with the most usage. */
	#rejectUndispatchable(nowMs: number): readonly QueueRejection[] {
		const {queues} = this.#tiers.late;
		const usageOf = new Map([...queues.lanes()].map(({team}) => [team, this.#options.usageOf(team, nowMs)]));
		const lanes = [...queues.lanes()].toSorted((a, b) => b.priority - a.priority || usageOf.get(b.team)! - usageOf.get(a.team)!);
		const rejected: QueueRejection[] = [];
		for (const {team, priority, waiting} of lanes) {
			let ownCost = 0;
			const entries = [...waiting];
			for (const {request, cost} of entries) {
				const ahead = costAhead({team, priority, ownCost}, queues.lanes(), name => usageOf.get(name) ?? 0);
				if (this.#isDispatchedWithin(ahead, 'late', this.#latestStartMs(request) - nowMs)) {
					ownCost += cost;
				} else {
					queues.remove(request.requestId);
					rejected.push(this.#rejectLate(request, 'no-turn', nowMs));
				}
			}
		}

		return rejected;
	}
}
