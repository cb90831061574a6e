/**
 * Corrects the cost estimates of one team's waiting and running requests by the ratio of
 * actual to estimated cost of its answered requests. Otherwise a long queue would keep for
 * minutes the estimates that were made when its first requests arrived.
 */

/** Weight of the newest request in the moving averages. */
const LEARNING_RATE = 0.05;

export class CostCorrection {
	#meanCost = 0;
	#meanEstimate = 0;
	#count = 0;

	/** Returns the corrected cost of requests whose estimates add up to `estimate`, in cost units. */
	correct(estimate: number): number {
		return this.#count === 0 || this.#meanEstimate <= 0 ? estimate : estimate * this.#meanCost / this.#meanEstimate;
	}

	/** Records the estimated and the actual cost of an answered request. */
	learn(estimate: number, cost: number): void {
		this.#count++;
		const rate = Math.max(LEARNING_RATE, 1 / this.#count);
		this.#meanCost += rate * (cost - this.#meanCost);
		this.#meanEstimate += rate * (estimate - this.#meanEstimate);
	}
}
