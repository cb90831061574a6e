/**
 * Adaptive limit on the concurrent requests of one target.
 *
 * The limit starts at the contract's cold limit, which applies to a target just after its start.
 * It grows with the responses that VMs report, but only once a load report of the current process
 * instance states that the target is warm. A restart or a failure of the target resets the limit
 * at once to the cold limit; overload reduces it.
 */
import {type Contract} from '../config/fleet-config.js';
import {type LoadReport} from './types.js';

/** Milliseconds after a reset in which a load report may still describe the target's state before the reset. */
export const LOAD_REPORT_LAG_MS = 1500;
/** Least milliseconds between two reductions for overload. */
const REDUCTION_INTERVAL_MS = 1000;
/** Factor by which overload reduces the limit. */
const OVERLOAD_FACTOR = 0.7;

/** Numbers of calls that ended at one target since the VMs last reported such counts. */
export type AnswerCounts = {
	readonly answered: number;
	readonly overloaded: number;
	readonly failed: number;
	/** Process instance that sent the latest response; empty when unknown. */
	readonly instance: string;
};

export class TargetLimit {
	#contract: Contract;
	#limit: number;
	#instance = '';
	#resetAtMs: number;
	#confirmedWarm = false;
	#responsesTowardsGrowth = 0;
	#reducedAtMs = -Infinity;
	#leaving = false;
	#load: LoadReport | undefined;

	constructor(contract: Contract, nowMs: number) {
		this.#contract = contract;
		this.#limit = contract.coldLimit;
		this.#resetAtMs = nowMs;
	}

	/** Number of concurrent requests allowed now; 0 while the target is leaving. */
	get limit(): number {
		return this.#leaving ? 0 : Math.min(this.#limit, this.#contract.warmLimit);
	}

	/** Whether the target counts as cold: no load report since the last reset has stated that it is warm. */
	get isCold(): boolean {
		return !this.#confirmedWarm;
	}

	get isLeaving(): boolean {
		return this.#leaving;
	}

	/** Process instance that the limit applies to; empty when unknown. */
	get instance(): string {
		return this.#instance;
	}

	/** The latest load report. */
	get load(): LoadReport | undefined {
		return this.#load;
	}

	setContract(contract: Contract): void {
		this.#contract = contract;
		this.#limit = Math.min(this.#limit, contract.warmLimit);
	}

	/** Records the results that VMs have reported since the last call. */
	onAnswers(counts: AnswerCounts, nowMs: number): void {
		if (counts.instance !== '' && counts.instance !== this.#instance) {
			this.#onNewInstance(counts.instance, nowMs);
		}

		if (counts.failed > 0) {
			this.#reset(nowMs);
			return;
		}

		if (counts.overloaded > 0) {
			this.#reduce(nowMs);
			return;
		}

		this.#grow(counts.answered);
	}

	/** Records a load report of the target. */
	onLoad(report: LoadReport, nowMs: number): void {
		this.#load = report;
		this.#leaving = report.leaving;
		// Without running requests, which would fail, only the load report reveals a restart.
		if (report.cold && this.#confirmedWarm) {
			this.#onNewInstance(report.instance, nowMs);
			return;
		}

		const isCurrent = report.instance === this.#instance && nowMs >= this.#resetAtMs + LOAD_REPORT_LAG_MS;
		if (isCurrent && !report.cold) {
			this.#confirmedWarm = true;
		}
	}

	/** Resets the limit of a target that does not respond: it may be cold when it is reachable again. */
	onUnreachable(nowMs: number): void {
		this.#reset(nowMs);
	}

	#onNewInstance(instance: string, nowMs: number): void {
		this.#instance = instance;
		this.#reset(nowMs);
	}

	#reset(nowMs: number): void {
		this.#limit = this.#contract.coldLimit;
		this.#confirmedWarm = false;
		this.#responsesTowardsGrowth = 0;
		this.#resetAtMs = nowMs;
	}

	#reduce(nowMs: number): void {
		this.#responsesTowardsGrowth = 0;
		if (nowMs < this.#reducedAtMs + REDUCTION_INTERVAL_MS) {
			return;
		}

		this.#reducedAtMs = nowMs;
		this.#limit = Math.max(this.#contract.coldLimit, Math.floor(this.#limit * OVERLOAD_FACTOR));
	}

	#grow(answered: number): void {
		if (!this.#confirmedWarm) {
			return;
		}

		this.#responsesTowardsGrowth += answered;
		const steps = Math.floor(this.#responsesTowardsGrowth / this.#contract.growAfterAnswers);
		this.#responsesTowardsGrowth -= steps * this.#contract.growAfterAnswers;
		this.#limit = Math.min(this.#contract.warmLimit, this.#limit + steps);
	}
}
