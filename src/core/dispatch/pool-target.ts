/** A target as the dispatcher of a pool knows it: one of its own data centre, or one borrowed from another. */
import {type Contract} from '../config/fleet-config.js';
import {TargetLimit, type AnswerCounts} from '../target/target-limit.js';

/** Slots on which a lost member may still run requests at a target. */
type LostSlots = {readonly count: number; readonly sinceMs: number; readonly untilMs: number};

/** Slots of one target borrowed from another data centre's dispatcher. */
export type Loan = {
	readonly lender: string;
	/** Number of slots borrowed now. */
	readonly slots: number;
	readonly validUntilMs: number;
};

export class PoolTarget {
	readonly name: string;
	readonly limit: TargetLimit;
	/** Set for a target of another data centre. */
	loan: Loan | undefined;
	/** For each borrowed slot that has not been granted to a member yet, the team for which the lender granted it. */
	lentFor: readonly string[] = [];
	/** False while operators have taken the target or its data centre out of service. */
	isInService = true;
	/** Sums of the results that members of this pool reported. */
	totals = {
		answered: 0, overloaded: 0, failed: 0, answerMsSum: 0, instance: '',
	};

	#lost: readonly LostSlots[] = [];

	constructor(name: string, contract: Contract, nowMs: number) {
		this.name = name;
		this.limit = new TargetLimit(contract, nowMs);
	}

	/** Number of slots that members may hold in total. */
	get slots(): number {
		if (this.loan) {
			return this.loan.slots;
		}

		return this.isInService ? this.limit.limit : 0;
	}

	/** Number of slots that lost members may still use. */
	get lostSlots(): number {
		return this.#lost.reduce((sum, hold) => sum + hold.count, 0);
	}

	/** Adds results that a member reported. */
	addResults(seen: AnswerCounts & {readonly answerMs: number}, nowMs: number): void {
		this.totals = {
			answered: this.totals.answered + seen.answered,
			overloaded: this.totals.overloaded + seen.overloaded,
			failed: this.totals.failed + seen.failed,
			answerMsSum: this.totals.answerMsSum + seen.answerMs,
			instance: seen.instance === '' ? this.totals.instance : seen.instance,
		};
		this.limit.onAnswers(seen, nowMs);
	}

	/** Records that a member was lost while it held `count` slots. They count as held for `maxRunMs` or until a load report shows them to be free. */
	addLostSlots(count: number, nowMs: number, maxRunMs: number): void {
		if (count > 0) {
			this.#lost = [...this.#lost, {count, sinceMs: nowMs, untilMs: nowMs + maxRunMs}];
		}
	}

	/**
	 * Removes lost slots whose time limit has passed. Once twice the lag of load reports has
	 * passed since the loss, the target's load report also bounds the lost slots: by its number
	 * of running requests, less the `running` requests of live members.
	 */
	settleLostSlots(running: number, lagMs: number, nowMs: number): void {
		const reported = this.limit.load?.running;
		this.#lost = this.#lost.filter(hold => nowMs < hold.untilMs).map(hold => {
			const isReportLater = reported !== undefined && nowMs >= hold.sinceMs + (2 * lagMs);
			return isReportLater ? {...hold, count: Math.min(hold.count, Math.max(0, reported - running))} : hold;
		}).filter(hold => hold.count > 0);
	}
}
