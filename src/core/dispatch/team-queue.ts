/** The waiting requests of one team at one member, and the counters reported to the dispatcher. */
import {CostCorrection} from './cost-correction.js';
import {type DispatchRequest, type GrantResult} from './types.js';
import {type TeamDemand} from './messages.js';

/** Step, in cost units, to which reported estimates are rounded, so that small changes cause no messages. */
const COST_STEP = 0.25;

const roundCost = (cost: number): number => Math.round(cost / COST_STEP) * COST_STEP;

export type QueuedRequest = {
	readonly request: DispatchRequest;
	readonly arrivedMs: number;
};

export class TeamQueue {
	readonly team: string;
	#requests: QueuedRequest[] = [];
	#waitingEstimates = 0;
	#charged = 0;
	#answered = 0;
	#runningEstimates = 0;
	#running = 0;
	readonly #correction = new CostCorrection();
	#approved = 0;
	#approvalsUsed = 0;

	constructor(team: string) {
		this.team = team;
	}

	get length(): number {
		return this.#requests.length;
	}

	/** Number of approvals received and not yet used. */
	get outstandingApprovals(): number {
		return this.#approved - this.#approvalsUsed;
	}

	/** The request that has waited longest. */
	get head(): QueuedRequest | undefined {
		return this.#requests[0];
	}

	push(request: DispatchRequest, nowMs: number): void {
		this.#requests.push({request, arrivedMs: nowMs});
		this.#waitingEstimates += request.estimatedCost;
	}

	/** Removes the oldest request, which now starts. Its estimated cost counts as running until it ends. */
	start(): QueuedRequest | undefined {
		const waiting = this.#requests.shift();
		if (waiting) {
			this.#waitingEstimates -= waiting.request.estimatedCost;
			this.#runningEstimates += waiting.request.estimatedCost;
			this.#running++;
		}

		return waiting;
	}

	/** Removes a request without a charge; returns undefined when the request is not in this queue. */
	remove(requestId: string): QueuedRequest | undefined {
		const index = this.#requests.findIndex(waiting => waiting.request.requestId === requestId);
		if (index === -1) {
			return undefined;
		}

		const [waiting] = this.#requests.splice(index, 1);
		this.#waitingEstimates -= waiting?.request.estimatedCost ?? 0;
		return waiting;
	}

	/** Removes all requests for which `shouldRemove` holds. `position` is the number of requests kept so far. */
	removeWhere(shouldRemove: (waiting: QueuedRequest, position: number) => boolean): readonly QueuedRequest[] {
		const removed: QueuedRequest[] = [];
		const kept: QueuedRequest[] = [];
		for (const waiting of this.#requests) {
			if (shouldRemove(waiting, kept.length)) {
				removed.push(waiting);
				this.#waitingEstimates -= waiting.request.estimatedCost;
			} else {
				kept.push(waiting);
			}
		}

		this.#requests = kept;
		return removed;
	}

	/** Records the end of a request whose cost was estimated at `estimatedCost` units. */
	end(estimatedCost: number, result: GrantResult): void {
		this.#runningEstimates -= estimatedCost;
		this.#running--;
		this.#charged += result.cost;
		if (result.kind === 'answered') {
			this.#answered++;
			this.#correction.learn(estimatedCost, result.cost);
		}
	}

	/** Sets the number of approvals so far, which never decreases. */
	approveUpTo(approved: number): void {
		this.#approved = Math.max(this.#approved, approved);
	}

	useApproval(): void {
		this.#approvalsUsed++;
	}

	/** Resets the approvals for a new join. Waiting requests stay. */
	rejoin(): void {
		this.#approved = 0;
		this.#approvalsUsed = 0;
	}

	/** Number of running requests. */
	get running(): number {
		return this.#running;
	}

	/** Number of requests answered since the start of this VM. */
	get answered(): number {
		return this.#answered;
	}

	demand(nowMs: number): TeamDemand {
		const head = this.#requests[0];
		return {
			team: this.team,
			queued: this.#requests.length,
			meanCost: this.#requests.length === 0 ? 0 : roundCost(this.#correction.correct(this.#waitingEstimates / this.#requests.length)),
			oldestMs: head ? Math.round(nowMs - head.arrivedMs) : 0,
			charged: this.#charged,
			runningCost: roundCost(this.#correction.correct(this.#runningEstimates)),
			approvalsUsed: this.#approvalsUsed,
		};
	}
}
