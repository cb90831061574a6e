/**
 * The sequential test that tells a bad version: a CUSUM of log-likelihood ratios, for each
 * route and for all together. It sums the evidence for "bad" against "good" and forgets
 * what spoke for "good", so a version that turns bad late shows as fast as one that was bad
 * from the start. Few responses cannot reach the threshold.
 *
 * Load pattern: one twentieth of a service's requests goes to the new version, over many
 * VMs, while the old version's own failures and times vary with the load.
 */
import {addCounts, noCounts, responsesOf} from './counts.js';
import {type VersionTotals} from './evidence-aggregate.js';
import {type ResponseCounts} from './types.js';

/** Threshold of the sums; with it a good version is given up in less than one of a thousand roll-outs (`test/rollout/simulation.test.ts`). */
const THRESHOLD = 12;
/** Part of the threshold under which evidence counts as good. */
const GOOD_SCORE = 0.4;
/** Old responses that the baseline of a route goes by: some seconds of a busy route. */
const BASELINE_RESPONSES = 300;
/** Old responses of a route without which its times are not compared. */
const MIN_BASELINE_RESPONSES = 20;
/** Old responses of all routes that the rates of a route with few of its own go by. */
const PRIOR_WEIGHT = 50;

/** A good version's failure rate is below this or 1.5 times the old version's, a bad one's above that by 0.05 at least. */
const GOOD_FAIL_RATE = 0.01;
const FAILURE_FACTOR = 1.5;
const BAD_FAIL_MARGIN = 0.05;
/** The same of late responses, which vary more since they come with bursts. */
const GOOD_LATE_RATE = 0.1;
const LATE_FACTOR = 3;
const BAD_LATE_MARGIN = 0.25;
/** A version whose times are up to twice the old one's is good, since its caches are empty; one three times as slow is bad. */
const GOOD_TIME_FACTOR = 2;
const BAD_TIME_FACTOR = 3;
/** Least standard deviation of logarithms of times: response times vary by half from one request to the next. */
const MIN_LOG_DEVIATION = 0.5;

export type AlarmReason = 'failures' | 'slow' | 'late';

export type Verdict = {
	/** Set once the version is found bad. */
	readonly alarm: {readonly reason: AlarmReason; readonly route: string} | undefined;
	/** Whether nothing suspicious is at hand. */
	readonly isGood: boolean;
	/** Largest sum as a part of the threshold. */
	readonly score: number;
};

type CusumSums = Record<AlarmReason | 'slow-end', number>;

const STATISTICS: ReadonlyArray<{readonly key: keyof CusumSums; readonly reason: AlarmReason}> = [
	{key: 'failures', reason: 'failures'},
	{key: 'slow', reason: 'slow'},
	{key: 'slow-end', reason: 'slow'},
	{key: 'late', reason: 'late'},
];

/** The name under which all routes together are judged. */
const ALL_ROUTES = '(all)';

/** Log-likelihood ratio of `hits` among `count` for the rate `bad` against `good`. */
const rateLogRatio = (hits: number, count: number, good: number, bad: number): number =>
	(hits * Math.log(bad / good)) + ((count - hits) * Math.log((1 - bad) / (1 - good)));

type LogTimes = {readonly count: number; readonly sum: number; readonly squares: number};

/** Log-likelihood ratio of times that are `BAD_TIMES` of the old ones against `GOOD_TIMES`. */
const timeLogRatio = (next: LogTimes, before: LogTimes): number => {
	const mean = before.sum / before.count;
	const variance = Math.max(MIN_LOG_DEVIATION ** 2, (before.squares / before.count) - (mean ** 2));
	const logFactor = Math.log(BAD_TIME_FACTOR / GOOD_TIME_FACTOR);
	const midpoint = mean + Math.log(GOOD_TIME_FACTOR) + (logFactor / 2);
	return logFactor / variance * (next.sum - (next.count * midpoint));
};

const rateOf = (hits: number, count: number): number => count > 0 ? hits / count : 0;

const firstPartTimes = ({timed, firstSum, firstSquares}: ResponseCounts): LogTimes => ({count: timed, sum: firstSum, squares: firstSquares});
const endTimes = ({ended, endSum, endSquares}: ResponseCounts): LogTimes => ({count: ended, sum: endSum, squares: endSquares});

const addToSum = (sums: CusumSums, key: keyof CusumSums, ratio: number): void => {
	sums[key] = Math.max(0, sums[key] + ratio);
};

/** Compares what is new of one route with its baseline. Times of all routes together are not compared, since routes differ. */
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
			addToSum(sums, 'slow', timeLogRatio(firstPartTimes(next), firstPartTimes(baseline)));
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

	/** Judges what the totals show beyond those of the last call. */
	evaluate(routes: ReadonlyMap<string, VersionTotals>): Verdict {
		let pooledNext = noCounts;
		let pooled = noCounts;
		const parts: Array<{readonly route: string; readonly next: ResponseCounts; readonly baseline: ResponseCounts}> = [];
		for (const [route, total] of routes) {
			const previous = this.#previousTotals.get(route) ?? {before: noCounts, next: noCounts};
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

	/** Later old responses replace earlier ones by their number; without later ones the baseline stays. */
	#updateBaseline(route: string, added: ResponseCounts): ResponseCounts {
		const decay = Math.exp(-responsesOf(added) / BASELINE_RESPONSES);
		const baseline = addCounts(added, this.#baselines.get(route) ?? noCounts, decay);
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
