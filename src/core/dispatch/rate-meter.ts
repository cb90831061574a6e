/** Rate of events over a sliding window, counted in buckets of fixed length. */
const BUCKET_MS = 500;
const WINDOW_MS = 5000;

export class RateMeter {
	#buckets: ReadonlyArray<{readonly startMs: number; readonly count: number}> = [];
	#sinceMs: number;

	constructor(nowMs: number) {
		this.#sinceMs = nowMs;
	}

	add(count: number, nowMs: number): void {
		if (count <= 0) {
			return;
		}

		const startMs = Math.floor(nowMs / BUCKET_MS) * BUCKET_MS;
		const last = this.#buckets.at(-1);
		this.#buckets = last?.startMs === startMs
			? [...this.#buckets.slice(0, -1), {startMs, count: last.count + count}]
			: [...this.#recent(nowMs), {startMs, count}];
	}

	/** Returns the number of events in the window. */
	count(nowMs: number): number {
		return this.#recent(nowMs).reduce((sum, bucket) => sum + bucket.count, 0);
	}

	/** Returns the events per second over the window, or over the time since the measurement started if that is shorter. */
	perSecond(nowMs: number): number {
		const spanMs = Math.max(BUCKET_MS, Math.min(WINDOW_MS, nowMs - this.#sinceMs));
		return this.count(nowMs) * 1000 / spanMs;
	}

	/** Removes all events and starts a new measurement. */
	reset(nowMs: number): void {
		this.#buckets = [];
		this.#sinceMs = nowMs;
	}

	#recent(nowMs: number) {
		return this.#buckets.filter(bucket => bucket.startMs > nowMs - WINDOW_MS);
	}
}
