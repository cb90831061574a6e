/**
 * Takes the usual error out of one team's estimates (the priors), for requests that wait
 * or run while others of the team end. A long queue would otherwise keep for minutes what
 * was expected at the arrival of its first requests.
 */

/** Weight of the newest request in the running means. */
const LEARNING_RATE = 0.05;

export class CostCorrection {
	#meanCost = 0;
	#meanEstimate = 0;
	#count = 0;

	/** Expected cost of requests whose priors add up to `priors`, in cost units. */
	correct(estimate: number): number {
		return this.#count === 0 || this.#meanEstimate <= 0 ? estimate : estimate * this.#meanCost / this.#meanEstimate;
	}

	/** A request expected at `estimate` ended with `cost`. */
	learn(estimate: number, cost: number): void {
		this.#count++;
		const rate = Math.max(LEARNING_RATE, 1 / this.#count);
		this.#meanCost += rate * (cost - this.#meanCost);
		this.#meanEstimate += rate * (estimate - this.#meanEstimate);
	}
}
