/** Record of the requests that a target executed, as ground truth for tests and measurements. */

const MAX_RUNS = 200_000;

export type RunOutcome = 'answered' | 'cancelled' | 'reset';

/** One execution of a request at a target. */
export type Run = {
	readonly requestId: string;
	/** Caller's id of the work, which stays the same when the request is retried: a nonce or a debit id. */
	readonly businessId: string;
	readonly team: string;
	readonly instance: string;
	readonly startMs: number;
	readonly endMs: number;
	readonly cost: number;
	readonly outcome: RunOutcome;
};

/** List of runs with a maximum length; the oldest runs are dropped first. */
export class RunRecord {
	readonly #runs: Run[] = [];
	#dropped = 0;

	get dropped(): number {
		return this.#dropped;
	}

	get runs(): readonly Run[] {
		return this.#runs;
	}

	add(run: Run): void {
		this.#runs.push(run);
		if (this.#runs.length > MAX_RUNS) {
			this.#runs.splice(0, MAX_RUNS / 10);
			this.#dropped += MAX_RUNS / 10;
		}
	}
}
