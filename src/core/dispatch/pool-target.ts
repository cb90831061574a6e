/** A target as the dispatcher of a pool sees it: its own, or lent by another data centre. */
import {type Contract} from '../config/fleet-config.js';
import {TargetLimit, type AnswerCounts} from '../target/target-limit.js';

/** What a lost member may still be running at a target. */
type LostSlots = {readonly count: number; readonly sinceMs: number; readonly untilMs: number};

/** A slot borrowed from another data centre's dispatcher. */
export type Loan = {
	readonly lender: string;
	/** Slots lent now. */
	readonly slots: number;
	readonly validUntilMs: number;
};

export class PoolTarget {
	readonly name: string;
	readonly limit: TargetLimit;
	/** Set for a target of another data centre. */
	loan: Loan | undefined;
	/** Teams for which borrowed slots were lent that have not been used yet. */
	lentFor: readonly string[] = [];
	/** False while operators have taken the target or its data centre out. */
	isInService = true;
	/** All results that members of this pool saw. */
	totals = {
		answered: 0, overloaded: 0, failed: 0, answerMsSum: 0, instance: '',
	};

	#lost: readonly LostSlots[] = [];

	constructor(name: string, contract: Contract, nowMs: number) {
		this.name = name;
		this.limit = new TargetLimit(contract, nowMs);
	}

	/** Slots that members may hold in total. */
	get slots(): number {
		if (this.loan) {
			return this.loan.slots;
		}

		return this.isInService ? this.limit.limit : 0;
	}

	get lostSlots(): number {
		return this.#lost.reduce((sum, hold) => sum + hold.count, 0);
	}

	/** A member saw results at the target. */
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

	/** A member was lost while it held `count` slots: they count until proved free. */
	addLostSlots(count: number, nowMs: number, maxRunMs: number): void {
		if (count > 0) {
			this.#lost = [...this.#lost, {count, sinceMs: nowMs, untilMs: nowMs + maxRunMs}];
		}
	}

	/** Drops lost holds that are over, or that the target's own later report disproves. */
	settleLostSlots(running: number, lagMs: number, nowMs: number): void {
		const reported = this.limit.load?.running;
		this.#lost = this.#lost.filter(hold => nowMs < hold.untilMs).map(hold => {
			const isReportLater = reported !== undefined && nowMs >= hold.sinceMs + (2 * lagMs);
			return isReportLater ? {...hold, count: Math.min(hold.count, Math.max(0, reported - running))} : hold;
		}).filter(hold => hold.count > 0);
	}
}
