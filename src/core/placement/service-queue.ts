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
import {createKindService} from './kind-service.js';
import {createLateOdds} from './late-odds.js';
import {createRetryDelays, type RetryDelays} from './retry-delay.js';
import {priorityOf, TeamQueues, type WaitingAsk} from './team-queues.js';
import {type PlacementRequest} from './types.js';
import {createUrgency} from './urgency.js';
import {inTimeEndMs, patienceEndMs} from './waiting-times.js';

/** Milliseconds between checks of whether each late request still gets its turn; the rate of starts changes little in less. */
const CHECK_EVERY_MS = 100;
/** Milliseconds between rounds of late requests: a tenth of the least time for which callers stay. Each try costs processor time, and a call to another VM in front of engines. */
const LATE_ROUND_MS = 200;
/** Part of the time in the first tier within which a request must be expected to get its turn to count on it: requests of teams that received less come before it meanwhile. */
const SURE_SHARE = 0.5;

/** Priority of a kind that is served far less than others. */
const FIRST_OF_ALL = -1;

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
export type Leaving = {
	readonly request: PlacementRequest;
	readonly reason: 'too-late' | 'no-turn';
	readonly queue: QueueSnapshot | undefined;
};

export type ServiceQueueOptions = {
	/** Whether late requests wait in a tier of their own, and hopeless ones are refused early. */
	readonly isTiered: () => boolean;
	/** Part of the target latency for which a request is in the first tier; undefined for the usual one. */
	readonly waitShareOf: (ask: PlacementRequest) => number | undefined;
	/** Milliseconds that a request's own work takes until its first part. */
	readonly startMsOf: (ask: PlacementRequest) => number;
	readonly costOf: (ask: PlacementRequest) => number;
	/** What a team received. */
	readonly useOf: (team: string, nowMs: number) => number;
	/** Uniform in [0, 1). */
	readonly random: () => number;
};

export type DispatchRound = {
	readonly useCeiling: number;
	readonly isPaused: (ask: PlacementRequest) => boolean;
	/** Starts an ask; false when no target takes it. */
	readonly tryStart: (ask: PlacementRequest, tier: Tier) => boolean;
};

const createTier = () => ({queues: new TeamQueues(), drain: createDrainRate()});

export class ServiceQueue {
	readonly #options: ServiceQueueOptions;
	readonly #tiers = {'in-time': createTier(), late: createTier()};
	readonly #facts = new Map<string, QueueSnapshot>();
	readonly #delays: RetryDelays;
	readonly #kinds = createKindService();
	readonly #urgency = createUrgency();
	readonly #odds = createLateOdds();
	#checkedMs = -Infinity;
	#triedLateMs = -Infinity;
	#expiredLateMs = -Infinity;

	constructor(options: ServiceQueueOptions) {
		this.#options = options;
		this.#delays = createRetryDelays(options.random);
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
	* waiting(): Iterable<{readonly team: string; readonly asks: readonly WaitingAsk[]}> {
		for (const {queues} of Object.values(this.#tiers)) {
			for (const {team, waiting} of queues.lanes()) {
				yield {team, asks: waiting};
			}
		}
	}

	tierOf(ask: PlacementRequest, nowMs: number): Tier {
		return this.#options.isTiered() && nowMs >= this.#inTimeEndMs(ask) ? 'late' : 'in-time';
	}

	/** Whether nothing waits that goes before requests of a tier. */
	isOpen(tier: Tier): boolean {
		return tier === 'in-time' ? this.#tiers['in-time'].queues.isEmpty : this.isEmpty;
	}

	/** Whether a request can't reach its caller any more, wherever it is sent. */
	isPastPatience(ask: PlacementRequest, nowMs: number): boolean {
		return this.#options.isTiered() && nowMs >= this.#patienceEndMs(ask);
	}

	/** Takes in a new request, or tells that it cannot get its turn while its caller stays. */
	admit(request: PlacementRequest, nowMs: number): Leaving | undefined {
		if (!this.#options.isTiered()) {
			this.add(request, nowMs);
			return undefined;
		}

		this.#advance(nowMs);
		const tier = this.tierOf(request, nowMs);
		const facts = this.#factsOf(request, tier, nowMs);
		if (this.isPastPatience(request, nowMs)) {
			return {request, reason: 'too-late', queue: facts};
		}

		if (!this.#getsTurn(request, facts, nowMs)) {
			return {request, reason: 'no-turn', queue: facts};
		}

		this.#facts.set(request.requestId, facts);
		this.#insert(request, tier);
		return undefined;
	}

	/** Takes in a request that was admitted before, at its place. */
	add(ask: PlacementRequest, nowMs: number): void {
		this.#advance(nowMs);
		this.#insert(ask, this.tierOf(ask, nowMs));
	}

	/** Takes in that a caller asked. */
	noteAsked({kind = ''}: PlacementRequest, nowMs: number): void {
		this.#kinds.noteAsked(kind, nowMs);
	}

	/** Whether a request gives way to others: a late one, or one less urgent than requests that had to wait. */
	givesWay(ask: PlacementRequest, tier: Tier, nowMs: number): boolean {
		return tier === 'late' || (this.#urgency.givesWay(priorityOf(ask), nowMs) && !this.#kinds.isStarving(ask.kind ?? '', nowMs));
	}

	/** Forgets a request. */
	remove(requestId: string): void {
		this.#facts.delete(requestId);
		if (!this.#tiers['in-time'].queues.remove(requestId)) {
			this.#tiers.late.queues.remove(requestId);
		}
	}

	/** Takes out all requests that `isMeant` names. */
	removeAll(isMeant: (ask: PlacementRequest) => boolean): readonly Leaving[] {
		return Object.values(this.#tiers).flatMap(({queues}) => queues.removeAll(isMeant).map(({ask}) => this.#leave(ask, 'too-late')));
	}

	/** Takes in that a request was started; tells where it had waited. */
	noteStarted(ask: PlacementRequest, nowMs: number): QueueSnapshot | undefined {
		const facts = this.#facts.get(ask.requestId);
		this.#facts.delete(ask.requestId);
		this.#kinds.noteStarted(ask.kind ?? '', nowMs);
		if (facts !== undefined || !this.isEmpty) {
			this.#advance(nowMs);
			const tier = this.tierOf(ask, nowMs);
			this.#tiers[tier].drain.noteStarted(this.#options.costOf(ask));
			if (tier === 'late') {
				this.#odds.noteStarted(nowMs);
			}
		}

		return facts;
	}

	/** Moves requests that are late now to the second tier, and takes out those that no caller waits for or that cannot get their turn. */
	expire(nowMs: number): readonly Leaving[] {
		this.#advance(nowMs);
		const leaving: Leaving[] = [];
		for (const {ask} of this.#tiers['in-time'].queues.removeAll(waiting => nowMs >= this.#inTimeEndMs(waiting))) {
			const left = this.#options.isTiered() ? this.#moveToLate(ask, nowMs) : this.#leave(ask, 'too-late');
			if (left) {
				leaving.push(left);
			}
		}

		const {queues} = this.#tiers.late;
		if (!queues.isEmpty && nowMs >= this.#expiredLateMs + LATE_ROUND_MS) {
			this.#expiredLateMs = nowMs;
			leaving.push(...queues.removeAll(ask => nowMs >= this.#patienceEndMs(ask)).map(({ask}) => this.#leaveLate(ask, 'too-late', nowMs)));
			if (nowMs >= this.#checkedMs + CHECK_EVERY_MS) {
				this.#checkedMs = nowMs;
				leaving.push(...this.#takeHopeless(nowMs));
			}
		}

		return leaving;
	}

	/** Whether requests are to be offered to the targets now. */
	isDue(nowMs: number): boolean {
		return !this.#tiers['in-time'].queues.isEmpty || (!this.#tiers.late.queues.isEmpty && nowMs >= this.#triedLateMs + LATE_ROUND_MS);
	}

	/** Offers all that wait to the targets, late requests after those in time. */
	dispatch({useCeiling, isPaused, tryStart}: DispatchRound, nowMs: number): void {
		const {useOf, isTiered} = this.#options;
		for (const tier of ['in-time', 'late'] as const) {
			const {queues} = this.#tiers[tier];
			for (const {priority, waiting: [first]} of queues.lanes()) {
				if (tier === 'in-time' && first) {
					this.#urgency.noteWait(priority, nowMs - first.ask.arrivedMs, nowMs);
				}
			}

			if (queues.isEmpty || (tier === 'late' && !this.#mayTryLate(nowMs))) {
				continue;
			}

			startInOrder(queues.lanes(), {
				priorityOf: ({kind, priority}) => this.#kinds.isStarving(kind, nowMs) ? FIRST_OF_ALL : priority,
				useOf: team => useOf(team, nowMs),
				useCeiling,
				looksBeyond: isTiered(),
				isPaused: ({ask}) => isPaused(ask),
				tryStart({ask}) {
					const hasStarted = tryStart(ask, tier);
					if (hasStarted) {
						queues.remove(ask.requestId);
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
	retryAfterMs(ask: PlacementRequest, backlogMs: number, nowMs: number): number {
		const {queues, drain} = this.#tiers['in-time'];
		const costPerMs = drain.costPerMs();
		return this.#delays.next({
			drainMs: this.#turnMs(this.#costOf(queues), 'in-time') ?? backlogMs,
			ownMs: costPerMs === undefined ? 0 : this.#options.costOf(ask) / costPerMs,
			remainingMs: ask.deadlineMs - nowMs,
		}, nowMs);
	}

	/** While requests in time wait there is no room left over. */
	#mayTryLate(nowMs: number): boolean {
		if (!this.#tiers['in-time'].queues.isEmpty || nowMs < this.#triedLateMs + LATE_ROUND_MS) {
			return false;
		}

		this.#triedLateMs = nowMs;
		return true;
	}

	#leave(request: PlacementRequest, reason: Leaving['reason']): Leaving {
		const queue = this.#facts.get(request.requestId);
		this.#facts.delete(request.requestId);
		return {request, reason, queue};
	}

	/** A late request leaves that had waited. */
	#leaveLate(ask: PlacementRequest, reason: Leaving['reason'], nowMs: number): Leaving {
		this.#odds.noteLeft(nowMs);
		return this.#leave(ask, reason);
	}

	#inTimeEndMs(ask: PlacementRequest): number {
		return inTimeEndMs(ask, this.#options.waitShareOf(ask));
	}

	#patienceEndMs(ask: PlacementRequest): number {
		return patienceEndMs(ask, this.#options.startMsOf(ask));
	}

	#costOf(queues: TeamQueues): number {
		let cost = 0;
		for (const lane of queues.lanes()) {
			cost += lane.cost;
		}

		return cost;
	}

	#advance(nowMs: number): void {
		const isOverloaded = !this.isEmpty;
		for (const {queues, drain} of Object.values(this.#tiers)) {
			drain.advance({isBacklogged: !queues.isEmpty, isOverloaded}, nowMs);
		}
	}

	#insert(ask: PlacementRequest, tier: Tier): void {
		this.#tiers[tier].queues.add({ask, cost: this.#options.costOf(ask), orderMs: this.#orderMs(ask, tier)});
	}

	/** In time: least slack first. Late: least remaining time first, so that callers who came back go before newcomers. */
	#orderMs(ask: PlacementRequest, tier: Tier): number {
		const {deadlineMs, arrivedMs, firstAttemptMs = arrivedMs, targetLatencyMs} = ask;
		if (tier === 'late') {
			return deadlineMs;
		}

		return this.#options.isTiered()
			? Math.min(firstAttemptMs, arrivedMs) + targetLatencyMs - this.#options.startMsOf(ask)
			: arrivedMs + targetLatencyMs;
	}

	#factsOf(ask: PlacementRequest, tier: Tier, nowMs: number): QueueSnapshot {
		const {queues, drain} = this.#tiers[tier];
		return {
			tier, position: queues.size, costAhead: this.#costAhead(ask, tier, nowMs), costPerMs: drain.costPerMs(),
		};
	}

	#costAhead(ask: PlacementRequest, tier: Tier, nowMs: number): number {
		const {queues} = this.#tiers[tier];
		const priority = priorityOf(ask);
		const orderMs = this.#orderMs(ask, tier);
		let ownCost = 0;
		for (const lane of queues.lanes()) {
			if (lane.team === ask.team && lane.priority === priority) {
				for (const other of lane.waiting) {
					if (other.orderMs > orderMs) {
						break;
					}

					ownCost += other.cost;
				}
			}
		}

		return costAhead({team: ask.team, priority, ownCost}, queues.lanes(), team => this.#options.useOf(team, nowMs));
	}

	/** Whether a request gets its turn while its caller stays, in its tier or in the one after it. Unknown rates refuse nobody. */
	#getsTurn(ask: PlacementRequest, facts: QueueSnapshot, nowMs: number): boolean {
		const patienceMs = this.#patienceEndMs(ask) - nowMs;
		if (facts.tier === 'late') {
			return (this.#tiers.late.queues.isEmpty || this.#odds.isWorthwhile(nowMs)) && this.#isWithin(facts.costAhead, 'late', patienceMs);
		}

		const inTimeMs = this.#inTimeEndMs(ask) - nowMs;
		return this.#isWithin(facts.costAhead, 'in-time', inTimeMs * SURE_SHARE)
			|| this.#isWithin(this.#costAhead(ask, 'late', nowMs), 'late', patienceMs - inTimeMs);
	}

	#isWithin(cost: number, tier: Tier, ms: number): boolean {
		const turnMs = this.#turnMs(cost, tier);
		return turnMs === undefined || turnMs <= ms;
	}

	/** Late requests that stand still go at the rate of those in time when the overload is over. */
	#turnMs(cost: number, tier: Tier): number | undefined {
		const {'in-time': inTime, late} = this.#tiers;
		return tier === 'late' ? late.drain.turnMs(cost, inTime.drain.costPerMs()) : inTime.drain.turnMs(cost);
	}

	#moveToLate(ask: PlacementRequest, nowMs: number): Leaving | undefined {
		if (nowMs >= this.#patienceEndMs(ask)) {
			return this.#leave(ask, 'too-late');
		}

		const facts = this.#factsOf(ask, 'late', nowMs);
		if (!this.#getsTurn(ask, facts, nowMs)) {
			return this.#leave(ask, 'no-turn');
		}

		this.#facts.set(ask.requestId, facts);
		this.#insert(ask, 'late');
		return undefined;
	}

	/** Late requests whose turn comes after their callers have left, those of the teams that received most first. */
	#takeHopeless(nowMs: number): readonly Leaving[] {
		const {queues} = this.#tiers.late;
		const useOf = new Map([...queues.lanes()].map(({team}) => [team, this.#options.useOf(team, nowMs)]));
		const lanes = [...queues.lanes()].toSorted((a, b) => b.priority - a.priority || useOf.get(b.team)! - useOf.get(a.team)!);
		const leaving: Leaving[] = [];
		for (const {team, priority, waiting} of lanes) {
			let ownCost = 0;
			const entries = [...waiting];
			for (const {ask, cost} of entries) {
				const ahead = costAhead({team, priority, ownCost}, queues.lanes(), name => useOf.get(name) ?? 0);
				if (this.#isWithin(ahead, 'late', this.#patienceEndMs(ask) - nowMs)) {
					ownCost += cost;
				} else {
					queues.remove(ask.requestId);
					leaving.push(this.#leaveLate(ask, 'no-turn', nowMs));
				}
			}
		}

		return leaving;
	}
}
