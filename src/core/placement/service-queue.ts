/**
 * The requests of one service that wait at one VM, in two tiers: those whose responses can
 * still be in time, and behind them those that are late already and whose callers stay.
 *
 * Load pattern: demand above what the targets can start in time, in waves and bursts of some
 * seconds, while callers wait for seconds and a late response has some value left. Requests
 * in time come first, so late ones cost them nothing; late ones take what is left when a wave
 * is over; and what cannot get its turn while its caller stays is refused on arrival, since a
 * refusal after a wait is worth less than one at once.
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

/** Milliseconds between checks of whether each late request still gets its turn; the rate of starts changes little in less. */
const LATE_CHECK_INTERVAL_MS = 100;
/** Milliseconds between rounds of late requests: a tenth of the least time for which callers stay. Each try costs processor time, and a call to another VM in front of engines. */
const LATE_ROUND_INTERVAL_MS = 200;
/** Part of the time in the first tier within which a request must be expected to get its turn to count on it: requests of teams that received less come before it meanwhile. */
const SAFE_WAIT_SHARE = 0.5;

/** Priority of a kind that is served far less than others. */
const STARVED_PRIORITY = -1;

export type Tier = 'in-time' | 'late';

/** Where a request stood when it began to wait, for the log. */
export type QueueSnapshot = {
	readonly tier: Tier;
	/** Requests of the tier that waited then. */
	readonly position: number;
	readonly costAhead: number;
	/** Cost that was started from the tier in a millisecond; undefined before the first start. */
	readonly costPerMs: number | undefined;
};

/** A request that leaves the queue without a target. */
export type QueueRejection = {
	readonly request: PlacementRequest;
	readonly reason: 'too-late' | 'no-turn';
	readonly queue: QueueSnapshot | undefined;
};

export type ServiceQueueOptions = {
	/** Whether late requests wait in a tier of their own, and hopeless ones are refused early. */
	readonly isTiered: () => boolean;
	/** Part of the target latency for which a request is in the first tier; undefined for the usual one. */
	readonly inTimeShareOf: (request: PlacementRequest) => number | undefined;
	/** Milliseconds that a request's own work takes until its first part. */
	readonly firstChunkMsOf: (request: PlacementRequest) => number;
	readonly costOf: (request: PlacementRequest) => number;
	/** What a team received. */
	readonly usageOf: (team: string, nowMs: number) => number;
	/** Uniform in [0, 1). */
	readonly random: () => number;
};

export type DispatchRound = {
	readonly usageCeiling: number;
	readonly isPaused: (request: PlacementRequest) => boolean;
	/** Starts an ask; false when no target takes it. */
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

	/** Asks that wait, by team. */
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

	/** Whether nothing waits that goes before requests of a tier. */
	isEmptyUpTo(tier: Tier): boolean {
		return tier === 'in-time' ? this.#tiers['in-time'].queues.isEmpty : this.isEmpty;
	}

	/** Whether a request can't reach its caller any more, wherever it is sent. */
	isTooLate(request: PlacementRequest, nowMs: number): boolean {
		return this.#options.isTiered() && nowMs >= this.#latestStartMs(request);
	}

	/** Takes in a new request, or tells that it cannot get its turn while its caller stays. */
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

	/** Takes in a request that was admitted before, at its place. */
	add(request: PlacementRequest, nowMs: number): void {
		this.#updateDrainRates(nowMs);
		this.#insert(request, this.tierOf(request, nowMs));
	}

	/** Takes in that a caller asked. */
	noteArrival({kind = ''}: PlacementRequest, nowMs: number): void {
		this.#kindStartRates.noteArrival(kind, nowMs);
	}

	/** Whether a request gives way to others: a late one, or one less urgent than requests that had to wait. */
	givesWay(request: PlacementRequest, tier: Tier, nowMs: number): boolean {
		return tier === 'late' || (this.#urgency.givesWay(priorityOf(request), nowMs) && !this.#kindStartRates.isStarved(request.kind ?? '', nowMs));
	}

	/** Forgets a request. */
	remove(requestId: string): void {
		this.#snapshots.delete(requestId);
		if (!this.#tiers['in-time'].queues.remove(requestId)) {
			this.#tiers.late.queues.remove(requestId);
		}
	}

	/** Takes out all requests that `isMeant` names. */
	removeAll(matches: (request: PlacementRequest) => boolean): readonly QueueRejection[] {
		return Object.values(this.#tiers).flatMap(({queues}) => queues.removeAll(matches).map(({request}) => this.#reject(request, 'too-late')));
	}

	/** Takes in that a request was started; tells where it had waited. */
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

	/** Moves requests that are late now to the second tier, and takes out those that no caller waits for or that cannot get their turn. */
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

	/** Whether requests are to be offered to the targets now. */
	isDue(nowMs: number): boolean {
		return !this.#tiers['in-time'].queues.isEmpty || (!this.#tiers.late.queues.isEmpty && nowMs >= this.#lateAttemptedMs + LATE_ROUND_INTERVAL_MS);
	}

	/** Offers all that wait to the targets, late requests after those in time. */
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
				priorityOf: ({kind, priority}) => this.#kindStartRates.isStarved(kind, nowMs) ? STARVED_PRIORITY : priority,
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
	 * Milliseconds after which a refused caller finds capacity.
	 *
	 * @param backlogMs - What the targets take for what they were sent, while the queue itself has no history.
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

	/** While requests in time wait there is no room left over. */
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

	/** A late request leaves that had waited. */
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

	/** In time: least slack first. Late: least remaining time first, so that callers who came back go before newcomers. */
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

	/** Whether a request gets its turn while its caller stays, in its tier or in the one after it. Unknown rates refuse nobody. */
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

	/** Late requests that stand still go at the rate of those in time when the overload is over. */
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

	/** Late requests whose turn comes after their callers have left, those of the teams that received most first. */
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
