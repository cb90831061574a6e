/** Token bucket that allows bursts of up to one second's tokens. */
export class RateLimit {
	#tokens: number;
	#filledMs: number;

	constructor(private perS: number, nowMs: number) {
		this.#tokens = perS;
		this.#filledMs = nowMs;
	}

	setRate(perS: number): void {
		this.perS = perS;
		this.#tokens = Math.min(this.#tokens, perS);
	}

	/** Takes one token. Returns false if there is none. */
	take(nowMs: number): boolean {
		const refilled = (nowMs - this.#filledMs) / 1000 * this.perS;
		this.#tokens = Math.min(this.perS, this.#tokens + refilled);
		this.#filledMs = nowMs;
		if (this.#tokens < 1) {
			return false;
		}

		this.#tokens -= 1;
		return true;
	}
}
