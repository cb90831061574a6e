/**
 * Policies without coordination between VMs, as a baseline for the comparison with the others.
 * Each VM decides alone: it uses a fixed share of every target's warm limit and orders its own
 * requests by a function passed in.
 */
import {MemberQueues} from './member-queues.js';
import {type MemberEffect} from './pool-member.js';
import {type TeamQueue} from './team-queue.js';
import {type DispatchRequest, type Grant, type GrantResult} from './types.js';

/** Milliseconds within which a granted request has to start. */
const GRANT_VALIDITY_MS = 2000;
/** Cost units by which the deficit of a team of weight one grows in each round. */
const QUANTUM_COST = 20;

export type LocalTarget = {readonly name: string; readonly address: string; readonly warmLimit: number};

/** Chooses the queue to serve next among those with waiting requests. */
export type LocalOrder = (waiting: readonly TeamQueue[]) => TeamQueue | undefined;

export type LocalPoolOptions = {
	readonly service: string;
	readonly vmIncarnation: string;
	/** Returns the targets that are in service. */
	readonly targets: () => readonly LocalTarget[];
	/** Returns the number of VMs among which each target's limit is divided. */
	readonly vmCount: () => number;
	readonly order: LocalOrder;
	readonly maxQueuedOf: (team: string) => number;
};

/** Chooses the queue whose first request has waited longest. */
export const oldestFirst: LocalOrder = waiting =>
	waiting.toSorted((left, right) => (left.head?.arrivedMs ?? 0) - (right.head?.arrivedMs ?? 0))[0];

/**
 * Deficit round robin over teams.
 *
 * Source: M. Shreedhar, G. Varghese, "Efficient Fair Queuing Using Deficit Round Robin", 1995.
 */
export const createDeficitRoundRobin = (weightOf: (team: string) => number): LocalOrder => {
	const deficits = new Map<string, number>();
	let round: readonly string[] = [];
	return waiting => {
		const byTeam = new Map(waiting.map(queue => [queue.team, queue]));
		round = [...round.filter(team => byTeam.has(team)), ...[...byTeam.keys()].filter(team => !round.includes(team))];
		while (round.length > 0) {
			const [team = '', ...rest] = round;
			const queue = byTeam.get(team);
			const cost = queue?.head?.request.estimatedCost ?? 0;
			const deficit = deficits.get(team) ?? 0;
			if (queue && deficit >= cost) {
				deficits.set(team, queue.length > 1 ? deficit - cost : 0);
				return queue;
			}

			deficits.set(team, deficit + (QUANTUM_COST * weightOf(team)));
			round = [...rest, team];
		}

		return undefined;
	};
};

type Running = {readonly team: string; readonly target: string; readonly estimatedCost: number};

export class LocalPool {
	readonly #options: LocalPoolOptions;
	readonly #queues: MemberQueues;
	readonly #running = new Map<string, Running>();
	#grantCount = 0;

	constructor(options: LocalPoolOptions) {
		this.#options = options;
		this.#queues = new MemberQueues(options.maxQueuedOf);
	}

	get queued(): number {
		return this.#queues.queued;
	}

	get running(): number {
		return this.#running.size;
	}

	submit(request: DispatchRequest, nowMs: number): readonly MemberEffect[] {
		const refusal = this.#queues.add(request, nowMs);
		return refusal ? [refusal] : this.#dispatch(nowMs);
	}

	withdraw(team: string, requestId: string): boolean {
		return this.#queues.of(team).remove(requestId) !== undefined;
	}

	isValid(grant: Grant, nowMs: number): boolean {
		return this.#running.has(grant.grantId) && nowMs < grant.expiresAtMs;
	}

	end(grant: Grant, result: GrantResult, nowMs: number): readonly MemberEffect[] {
		const running = this.#running.get(grant.grantId);
		if (!running) {
			return [];
		}

		this.#running.delete(grant.grantId);
		this.#queues.of(running.team).end(running.estimatedCost, result);
		return this.#dispatch(nowMs);
	}

	expire(nowMs: number): readonly MemberEffect[] {
		return [...this.#queues.expire(nowMs), ...this.#dispatch(nowMs)];
	}

	#dispatch(nowMs: number): readonly MemberEffect[] {
		const effects: MemberEffect[] = [];
		for (;;) {
			const target = this.#leastLoaded();
			const queue = target && this.#options.order(this.#queues.all().filter(({length}) => length > 0));
			const waiting = queue && this.#queues.take(queue, nowMs);
			if (!target || !waiting) {
				return effects;
			}

			this.#grantCount++;
			const grant: Grant = {
				grantId: `${this.#options.service}/${this.#options.vmIncarnation}-${this.#grantCount}`,
				target: target.name,
				address: target.address,
				epoch: 0n,
				instance: '',
				expiresAtMs: nowMs + GRANT_VALIDITY_MS,
			};
			this.#running.set(grant.grantId, {team: waiting.request.team, target: target.name, estimatedCost: waiting.request.estimatedCost});
			effects.push({
				kind: 'start', request: waiting.request, grant, waitedMs: nowMs - waiting.arrivedMs,
			});
		}
	}

	/** Returns the target on which this VM uses the smallest fraction of its share; undefined when it uses all of every share. */
	#leastLoaded(): LocalTarget | undefined {
		const used = new Map<string, number>();
		for (const {target} of this.#running.values()) {
			used.set(target, (used.get(target) ?? 0) + 1);
		}

		let best: LocalTarget | undefined;
		let bestLoad = 1;
		for (const target of this.#options.targets()) {
			const share = Math.max(1, Math.floor(target.warmLimit / this.#options.vmCount()));
			const load = (used.get(target.name) ?? 0) / share;
			if (load < bestLoad) {
				best = target;
				bestLoad = load;
			}
		}

		return best;
	}
}
