/** Report whose content is outdated by a set time, as a real service's report may be. */
import {type Clock} from '../../src/core/clock.js';

const SAMPLES_PER_LAG = 5;
const MIN_SAMPLE_MS = 20;

type Sample<Report> = {readonly takenMs: number; readonly report: Report};

export class LaggingReport<Report> {
	#samples: ReadonlyArray<Sample<Report>>;
	readonly #timer: NodeJS.Timeout;

	constructor(private readonly createReport: () => Report, private readonly lagMs: number, private readonly clock: Clock) {
		this.#samples = [this.#sample()];
		this.#timer = setInterval(() => {
			this.#add();
		}, Math.max(MIN_SAMPLE_MS, lagMs / SAMPLES_PER_LAG));
		this.#timer.unref();
	}

	/** Returns the newest report that is at least `lagMs` old, or the oldest one if none is. */
	read(): Report {
		if (this.lagMs === 0) {
			return this.createReport();
		}

		const dueMs = this.clock.nowMs() - this.lagMs;
		const sample = this.#samples.findLast(({takenMs}) => takenMs <= dueMs) ?? this.#samples[0];
		return sample ? sample.report : this.createReport();
	}

	close(): void {
		clearInterval(this.#timer);
	}

	#sample(): Sample<Report> {
		return {takenMs: this.clock.nowMs(), report: this.createReport()};
	}

	#add(): void {
		const keepFromMs = this.clock.nowMs() - (2 * Math.max(this.lagMs, MIN_SAMPLE_MS));
		this.#samples = [...this.#samples.filter(({takenMs}) => takenMs >= keepFromMs), this.#sample()];
	}
}
