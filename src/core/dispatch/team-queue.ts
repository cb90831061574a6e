/** One team's waiting asks at one member, with the counters told to the dispatcher. */
import {CostCorrection} from './cost-correction.js';
import {type DispatchRequest, type GrantResult} from './types.js';
import {type TeamDemand} from './messages.js';

/** Estimates are told in steps, so that small changes cause no messages. */
const COST_STEP = 0.25;

const roundCost = (cost: number): number => Math.round(cost / COST_STEP) * COST_STEP;

export type WaitingAsk = {
	readonly request: DispatchRequest;
	readonly arrivedMs: number;
};

export class TeamQueue {
	readonly team: string;
	#asks: WaitingAsk[] = [];
	#waitingPriors = 0;
	#charged = 0;
	#answered = 0;
	#runningPriors = 0;
	#running = 0;
	readonly #correction = new CostCorrection();
	#approved = 0;
	#approvalsUsed = 0;

	constructor(team: string) {
		this.team = team;
	}

	get length(): number {
		return this.#asks.length;
	}

	/** Approvals received and not yet used. */
	get outstanding(): number {
		return this.#approved - this.#approvalsUsed;
	}

	/** The ask that has waited longest. */
	get head(): WaitingAsk | undefined {
		return this.#asks[0];
	}

	push(request: DispatchRequest, nowMs: number): void {
		this.#asks.push({request, arrivedMs: nowMs});
		this.#waitingPriors += request.estimatedCost;
	}

	/** Takes the oldest ask out; its estimate counts until it ends. */
	start(): WaitingAsk | undefined {
		const waiting = this.#asks.shift();
		if (waiting) {
			this.#waitingPriors -= waiting.request.estimatedCost;
			this.#runningPriors += waiting.request.estimatedCost;
			this.#running++;
		}

		return waiting;
	}

	/** Takes one ask out without a charge; false when it is not here. */
	remove(requestId: string): WaitingAsk | undefined {
		const index = this.#asks.findIndex(waiting => waiting.request.requestId === requestId);
		if (index === -1) {
			return undefined;
		}

		const [waiting] = this.#asks.splice(index, 1);
		this.#waitingPriors -= waiting?.request.estimatedCost ?? 0;
		return waiting;
	}

	/** Takes out all asks for which `isHopeless` holds. */
	removeWhere(isHopeless: (waiting: WaitingAsk, position: number) => boolean): readonly WaitingAsk[] {
		const removed: WaitingAsk[] = [];
		const kept: WaitingAsk[] = [];
		for (const waiting of this.#asks) {
			if (isHopeless(waiting, kept.length)) {
				removed.push(waiting);
				this.#waitingPriors -= waiting.request.estimatedCost;
			} else {
				kept.push(waiting);
			}
		}

		this.#asks = kept;
		return removed;
	}

	/** A request that was expected at `prior` cost units ended. */
	end(prior: number, result: GrantResult): void {
		this.#runningPriors -= prior;
		this.#running--;
		this.#charged += result.cost;
		if (result.kind === 'answered') {
			this.#answered++;
			this.#correction.learn(prior, result.cost);
		}
	}

	approveUpTo(approved: number): void {
		this.#approved = Math.max(this.#approved, approved);
	}

	useApproval(): void {
		this.#approvalsUsed++;
	}

	/** Counters start anew with each join; what is queued stays. */
	rejoin(): void {
		this.#approved = 0;
		this.#approvalsUsed = 0;
	}

	/** Requests running. */
	get running(): number {
		return this.#running;
	}

	/** Requests answered since this VM's start. */
	get answered(): number {
		return this.#answered;
	}

	demand(nowMs: number): TeamDemand {
		const head = this.#asks[0];
		return {
			team: this.team,
			queued: this.#asks.length,
			meanCost: this.#asks.length === 0 ? 0 : roundCost(this.#correction.correct(this.#waitingPriors / this.#asks.length)),
			oldestMs: head ? Math.round(nowMs - head.arrivedMs) : 0,
			charged: this.#charged,
			runningCost: roundCost(this.#correction.correct(this.#runningPriors)),
			approvalsUsed: this.#approvalsUsed,
		};
	}
}
