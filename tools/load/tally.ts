/** Counts of requests and their outcomes, of one team or of all teams. */
import {build, type Histogram} from 'hdr-histogram-js';
import {type Attempt, type RequestResult} from './types.js';

const US_PER_MS = 1000;
const MAX_RESPONSE_US = 600 * 1000 * US_PER_MS;
const MAX_DETAILS = 20;

const newHistogram = (): Histogram =>
	build({lowestDiscernibleValue: 1, highestTrackableValue: MAX_RESPONSE_US, numberOfSignificantValueDigits: 3});

const increment = (counts: Record<string, number>, key: string): void => {
	counts[key] = (counts[key] ?? 0) + 1;
};

const reasonOf = (attempt: Attempt): string => attempt.kind === 'refused' ? attempt.reason : attempt.kind;

/** Returns percentiles in milliseconds of a histogram in microseconds. */
export const percentilesOf = (histogram: Histogram): Readonly<Record<string, number>> => {
	const at = (percentile: number): number => histogram.getValueAtPercentile(percentile) / US_PER_MS;
	return {
		p50: at(50), p90: at(90), p99: at(99), max: histogram.maxValue / US_PER_MS,
	};
};

export class Tally {
	/** Times from the first attempt to the complete response, in microseconds. */
	readonly responseUs = newHistogram();
	asked = 0;
	attempts = 0;
	answered = 0;
	lost = 0;
	crossed = 0;
	doubled = 0;
	cost = 0;
	readonly #refused: Record<string, number> = {};
	readonly #retried: Record<string, number> = {};
	readonly #details: string[] = [];

	get refusedByReason(): Readonly<Record<string, number>> {
		return this.#refused;
	}

	get retriedByReason(): Readonly<Record<string, number>> {
		return this.#retried;
	}

	get refused(): number {
		return Object.values(this.#refused).reduce((sum, count) => sum + count, 0);
	}

	add(result: RequestResult): void {
		const {last, attempts} = result;
		this.attempts += attempts.length;
		for (const attempt of attempts.slice(0, -1)) {
			increment(this.#retried, reasonOf(attempt));
		}

		if (last.kind === 'answered') {
			this.answered += 1;
			this.cost += last.cost;
			this.responseUs.recordValue(Math.min(MAX_RESPONSE_US, Math.round((result.endMs - result.startMs) * US_PER_MS)));
			return;
		}

		if (last.kind === 'refused') {
			increment(this.#refused, last.reason);
			return;
		}

		this.#addFault(result, last);
	}

	/** Adds the counts of another tally to this one. */
	merge(other: Tally): void {
		for (const key of ['asked', 'attempts', 'answered', 'lost', 'crossed', 'doubled', 'cost'] as const) {
			this[key] += other[key];
		}

		for (const [from, to] of [[other.#refused, this.#refused], [other.#retried, this.#retried]] as const) {
			for (const [reason, count] of Object.entries(from)) {
				to[reason] = (to[reason] ?? 0) + count;
			}
		}

		this.#details.push(...other.#details.slice(0, MAX_DETAILS - this.#details.length));
		this.responseUs.add(other.responseUs);
	}

	/** Descriptions of the first faults. */
	get faults(): readonly string[] {
		return this.#details;
	}

	report(): Readonly<Record<string, unknown>> {
		const {asked, attempts, answered, lost, crossed, doubled, cost} = this;
		return {
			asked, attempts, answered, lost, crossed, doubled, cost,
			refused: this.refused,
			refused_by_reason: this.#refused,
			retried_by_reason: this.#retried,
			answer_ms: percentilesOf(this.responseUs),
			faults: this.#details,
		};
	}

	/** Counts a fault; a connection that broke or failed and was not retried with success counts as a lost response. */
	#addFault({plan}: RequestResult, last: Extract<Attempt, {readonly detail: string}>): void {
		this[last.kind === 'crossed' || last.kind === 'doubled' ? last.kind : 'lost'] += 1;
		if (this.#details.length < MAX_DETAILS) {
			this.#details.push(`${last.kind} ${plan.service} ${plan.kind} ${plan.nonce} ${last.requestId}: ${last.detail}`);
		}
	}
}
