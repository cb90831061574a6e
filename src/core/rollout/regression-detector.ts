/**
 * The sequential test that detects a bad version: a CUSUM of log-likelihood ratios for each
 * route and for all routes together. The sums add up the evidence for "bad" against "good" and
 * never fall below zero, so a version that turns bad late is detected as fast as one that was
 * bad from the start. A few responses cannot reach the threshold.
 *
 * Load pattern: one twentieth of a service's requests goes to the new version, spread over
 * many VMs, while the failure rate and the times of the old version vary with the load.
 */
import {addCounts, zeroCounts, responsesOf} from './counts.js';
import {type VersionTotals} from './evidence-aggregate.js';
import {type ResponseCounts} from './types.js';

/** Threshold of the sums, at which less than one in a thousand roll-outs of a good version is rolled back (`test/rollout/simulation.test.ts`). */
const THRESHOLD = 12;
/** Share of the threshold below which the evidence counts as good. */
const GOOD_SCORE = 0.4;
/** Number of further responses of the old versions after which a response counts 1/e in a route's baseline; a busy route has as many in some seconds. */
const BASELINE_RESPONSES = 300;
/** Responses in a route's baseline below which the route's times are not compared. */
const MIN_BASELINE_RESPONSES = 20;
/** Weight, as a number of responses, that the rate over all routes has in the baseline rate of one route; it matters for routes with few responses of their own. */
const PRIOR_WEIGHT = 50;

/** The failure rate of a good version is at most this or 1.5 times the old versions' rate, whichever is higher; a bad version's rate is higher by at least 0.05. */
const GOOD_FAIL_RATE = 0.01;
const FAILURE_FACTOR = 1.5;
const BAD_FAIL_MARGIN = 0.05;
/** The same for the rate of late responses, which varies more since they come in bursts. */
const GOOD_LATE_RATE = 0.1;
const LATE_FACTOR = 3;
const BAD_LATE_MARGIN = 0.25;
/** A version is good when its times are up to twice those of the old versions, since its caches start empty; it is bad when they are three times as long. */
const GOOD_TIME_FACTOR = 2;
const BAD_TIME_FACTOR = 3;
/** Least standard deviation of the logarithms of times: response times vary by half from one request to the next. */
const MIN_LOG_DEVIATION = 0.5;

export type AlarmReason = 'failures' | 'slow' | 'late';

export type Verdict = {
	/** Set once the version was found to be bad. */
	readonly alarm: {readonly reason: AlarmReason; readonly route: string} | undefined;
	/** Whether there is no alarm and all sums are well below the threshold. */
	readonly isGood: boolean;
	/** Largest sum as a share of the threshold. */
	readonly score: number;
};

type CusumSums = Record<AlarmReason | 'slow-end', number>;

const STATISTICS: ReadonlyArray<{readonly key: keyof CusumSums; readonly reason: AlarmReason}> = [
	{key: 'failures', reason: 'failures'},
	{key: 'slow', reason: 'slow'},
	{key: 'slow-end', reason: 'slow'},
	{key: 'late', reason: 'late'},
];

/** Key of the sums over all routes together. */
const ALL_ROUTES = '(all)';

/** Returns the log-likelihood ratio of `hits` in `count` for the rate `bad` against the rate `good`. */
const rateLogRatio = (hits: number, count: number, good: number, bad: number): number =>
	(hits * Math.log(bad / good)) + ((count - hits) * Math.log((1 - bad) / (1 - good)));

type LogTimes = {readonly count: number; readonly sum: number; readonly squares: number};

/** Returns the log-likelihood ratio of the times in `next` for `BAD_TIME_FACTOR` times the old versions' against `GOOD_TIME_FACTOR` times. */
const timeLogRatio = (next: LogTimes, before: LogTimes): number => {
	const mean = before.sum / before.count;
	const variance = Math.max(MIN_LOG_DEVIATION ** 2, (before.squares / before.count) - (mean ** 2));
	const logFactor = Math.log(BAD_TIME_FACTOR / GOOD_TIME_FACTOR);
	const midpoint = mean + Math.log(GOOD_TIME_FACTOR) + (logFactor / 2);
	return logFactor / variance * (next.sum - (next.count * midpoint));
};

const rateOf = (hits: number, count: number): number => count > 0 ? hits / count : 0;

const firstChunkTimes = ({timed, firstSum, firstSquares}: ResponseCounts): LogTimes => ({count: timed, sum: firstSum, squares: firstSquares});
const endTimes = ({ended, endSum, endSquares}: ResponseCounts): LogTimes => ({count: ended, sum: endSum, squares: endSquares});

const addToSum = (sums: CusumSums, key: keyof CusumSums, ratio: number): void => {
	sums[key] = Math.max(0, sums[key] + ratio);
};

/** Updates the sums with new responses of one route, or of all routes together, against their baseline. Times are compared only for single routes, since routes differ. */
const updateSums = (sums: CusumSums, next: ResponseCounts, {baseline, pooled, isRoute}: {readonly baseline: ResponseCounts; readonly pooled: ResponseCounts; readonly isRoute: boolean}): void => {
	const responses = responsesOf(next);
	if (responses > 0) {
		const good = Math.min(0.5, Math.max(GOOD_FAIL_RATE, FAILURE_FACTOR * (baseline.failed + (PRIOR_WEIGHT * rateOf(pooled.failed, responsesOf(pooled)))) / (responsesOf(baseline) + PRIOR_WEIGHT)));
		addToSum(sums, 'failures', rateLogRatio(next.failed, responses, good, Math.min(0.9, Math.max(good + BAD_FAIL_MARGIN, good * 3))));
	}

	if (next.timed > 0 && baseline.timed >= MIN_BASELINE_RESPONSES) {
		const good = Math.min(0.6, Math.max(GOOD_LATE_RATE, LATE_FACTOR * (baseline.late + (PRIOR_WEIGHT * rateOf(pooled.late, pooled.timed))) / (baseline.timed + PRIOR_WEIGHT)));
		addToSum(sums, 'late', rateLogRatio(next.late, next.timed, good, Math.min(0.95, good + BAD_LATE_MARGIN)));
		if (isRoute) {
			addToSum(sums, 'slow', timeLogRatio(firstChunkTimes(next), firstChunkTimes(baseline)));
		}
	}

	if (isRoute && next.ended > 0 && baseline.ended >= MIN_BASELINE_RESPONSES) {
		addToSum(sums, 'slow-end', timeLogRatio(endTimes(next), endTimes(baseline)));
	}
};

export class RegressionDetector {
	readonly #sums = new Map<string, CusumSums>();
	readonly #previousTotals = new Map<string, VersionTotals>();
	readonly #baselines = new Map<string, ResponseCounts>();
	#alarm: Verdict['alarm'];

	/** Evaluates the responses that the totals contain beyond those of the previous call. */
	evaluate(routes: ReadonlyMap<string, VersionTotals>): Verdict {
		let pooledNext = zeroCounts;
		let pooled = zeroCounts;
		const parts: Array<{readonly route: string; readonly next: ResponseCounts; readonly baseline: ResponseCounts}> = [];
		for (const [route, total] of routes) {
			const previous = this.#previousTotals.get(route) ?? {before: zeroCounts, next: zeroCounts};
			const baseline = this.#updateBaseline(route, addCounts(total.before, previous.before, -1));
			const next = addCounts(total.next, previous.next, -1);
			this.#previousTotals.set(route, {...total});
			pooledNext = addCounts(pooledNext, next);
			pooled = addCounts(pooled, baseline);
			parts.push({route, next, baseline});
		}

		for (const {route, next, baseline} of parts) {
			updateSums(this.#sumsOf(route), next, {baseline, pooled, isRoute: true});
		}

		updateSums(this.#sumsOf(ALL_ROUTES), pooledNext, {baseline: pooled, pooled, isRoute: false});
		return this.#verdict();
	}

	/** Adds old versions' responses to a route's baseline. Earlier responses decay with the number of added ones; without any the baseline stays as it is. */
	#updateBaseline(route: string, added: ResponseCounts): ResponseCounts {
		const decay = Math.exp(-responsesOf(added) / BASELINE_RESPONSES);
		const baseline = addCounts(added, this.#baselines.get(route) ?? zeroCounts, decay);
		this.#baselines.set(route, baseline);
		return baseline;
	}

	#sumsOf(route: string): CusumSums {
		const sums = this.#sums.get(route) ?? {
			failures: 0, slow: 0, late: 0, 'slow-end': 0,
		};
		this.#sums.set(route, sums);
		return sums;
	}

	#verdict(): Verdict {
		let score = 0;
		for (const [route, sums] of this.#sums) {
			for (const {key, reason} of STATISTICS) {
				score = Math.max(score, sums[key] / THRESHOLD);
				if (sums[key] >= THRESHOLD) {
					this.#alarm ??= {reason, route};
				}
			}
		}

		return {alarm: this.#alarm, isGood: !this.#alarm && score < GOOD_SCORE, score};
	}
}
