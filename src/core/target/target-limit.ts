/**
 * How many requests one target may run at a time.
 *
 * The limit starts at the contract's cold value. It grows on answers seen here, and only
 * while the target's own report, taken after the start, says that it is warm. It falls
 * back at once when the target restarts, fails or refuses.
 */
import {type Contract} from '../config/fleet-config.js';
import {type LoadReport} from './types.js';

/** Age of a load report up to which it may describe the time before a reset. */
export const LOAD_REPORT_LAG_MS = 1500;
/** Least time between two reductions for overload. */
const REDUCTION_INTERVAL_MS = 1000;
/** Factor by which overload reduces the limit. */
const OVERLOAD_FACTOR = 0.7;

export type AnswerCounts = {
	readonly answered: number;
	readonly overloaded: number;
	readonly failed: number;
	/** Instance of the latest answer; empty when unknown. */
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

	/** Concurrent requests allowed now; 0 while the target is leaving. */
	get limit(): number {
		return this.#leaving ? 0 : Math.min(this.#limit, this.#contract.warmLimit);
	}

	get isCold(): boolean {
		return !this.#confirmedWarm;
	}

	get isLeaving(): boolean {
		return this.#leaving;
	}

	get instance(): string {
		return this.#instance;
	}

	get load(): LoadReport | undefined {
		return this.#load;
	}

	setContract(contract: Contract): void {
		this.#contract = contract;
		this.#limit = Math.min(this.#limit, contract.warmLimit);
	}

	/** Takes in results that members saw since the last call. */
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

	/** Takes in the target's own report. */
	onLoad(report: LoadReport, nowMs: number): void {
		this.#load = report;
		this.#leaving = report.leaving;
		// Also where nothing ran that could have failed: a restart shows in the report alone.
		if (report.cold && this.#confirmedWarm) {
			this.#onNewInstance(report.instance, nowMs);
			return;
		}

		const isCurrent = report.instance === this.#instance && nowMs >= this.#resetAtMs + LOAD_REPORT_LAG_MS;
		if (isCurrent && !report.cold) {
			this.#confirmedWarm = true;
		}
	}

	/** The target did not answer at all: it may come back cold. */
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
