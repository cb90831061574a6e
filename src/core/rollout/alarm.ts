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
import {type SummedRoute} from './evidence-sum.js';
import {type Counts} from './types.js';

/** Threshold of the sums; with it a good version is given up in less than one of a thousand roll-outs (`test/rollout/simulation.test.ts`). */
const THRESHOLD = 12;
/** Part of the threshold under which evidence counts as good. */
const GOOD_SHARE = 0.4;
/** Old responses that the baseline of a route goes by: some seconds of a busy route. */
const BASELINE_RESPONSES = 300;
/** Old responses of a route without which its times are not compared. */
const MIN_BASELINE = 20;
/** Old responses of all routes that the rates of a route with few of its own go by. */
const PRIOR_RESPONSES = 50;

/** A good version's failure rate is below this or 1.5 times the old version's, a bad one's above that by 0.05 at least. */
const GOOD_FAILED = 0.01;
const FAILED_FACTOR = 1.5;
const BAD_FAILED = 0.05;
/** The same of late responses, which vary more since they come with bursts. */
const GOOD_LATE = 0.1;
const LATE_FACTOR = 3;
const BAD_LATE = 0.25;
/** A version whose times are up to twice the old one's is good, since its caches are empty; one three times as slow is bad. */
const GOOD_TIMES = 2;
const BAD_TIMES = 3;
/** Least standard deviation of logarithms of times: response times vary by half from one request to the next. */
const MIN_DEVIATION = 0.5;

export type AlarmReason = 'failures' | 'slow' | 'late';

export type Verdict = {
	/** Set once the version is found bad. */
	readonly alarm: {readonly reason: AlarmReason; readonly route: string} | undefined;
	/** Whether nothing suspicious is at hand. */
	readonly isGood: boolean;
	/** Largest sum as a part of the threshold. */
	readonly score: number;
};

type Sums = Record<AlarmReason | 'slow-end', number>;

const KINDS: ReadonlyArray<{readonly key: keyof Sums; readonly reason: AlarmReason}> = [
	{key: 'failures', reason: 'failures'},
	{key: 'slow', reason: 'slow'},
	{key: 'slow-end', reason: 'slow'},
	{key: 'late', reason: 'late'},
];

/** The name under which all routes together are judged. */
const ALL_ROUTES = '(all)';

/** Log-likelihood ratio of `hits` among `count` for the rate `bad` against `good`. */
const rateRatio = (hits: number, count: number, good: number, bad: number): number =>
	(hits * Math.log(bad / good)) + ((count - hits) * Math.log((1 - bad) / (1 - good)));

type Times = {readonly count: number; readonly sum: number; readonly squares: number};

/** Log-likelihood ratio of times that are `BAD_TIMES` of the old ones against `GOOD_TIMES`. */
const timeRatio = (next: Times, before: Times): number => {
	const mean = before.sum / before.count;
	const variance = Math.max(MIN_DEVIATION ** 2, (before.squares / before.count) - (mean ** 2));
	const step = Math.log(BAD_TIMES / GOOD_TIMES);
	const middle = mean + Math.log(GOOD_TIMES) + (step / 2);
	return step / variance * (next.sum - (next.count * middle));
};

const rateOf = (hits: number, count: number): number => count > 0 ? hits / count : 0;

const firstsOf = ({timed, firstSum, firstSquares}: Counts): Times => ({count: timed, sum: firstSum, squares: firstSquares});
const endsOf = ({ended, endSum, endSquares}: Counts): Times => ({count: ended, sum: endSum, squares: endSquares});

const increase = (sums: Sums, key: keyof Sums, ratio: number): void => {
	sums[key] = Math.max(0, sums[key] + ratio);
};

/** Compares what is new of one route with its baseline. Times of all routes together are not compared, since routes differ. */
const judge = (sums: Sums, next: Counts, {baseline, all, isRoute}: {readonly baseline: Counts; readonly all: Counts; readonly isRoute: boolean}): void => {
	const responses = responsesOf(next);
	if (responses > 0) {
		const good = Math.min(0.5, Math.max(GOOD_FAILED, FAILED_FACTOR * (baseline.failed + (PRIOR_RESPONSES * rateOf(all.failed, responsesOf(all)))) / (responsesOf(baseline) + PRIOR_RESPONSES)));
		increase(sums, 'failures', rateRatio(next.failed, responses, good, Math.min(0.9, Math.max(good + BAD_FAILED, good * 3))));
	}

	if (next.timed > 0 && baseline.timed >= MIN_BASELINE) {
		const good = Math.min(0.6, Math.max(GOOD_LATE, LATE_FACTOR * (baseline.late + (PRIOR_RESPONSES * rateOf(all.late, all.timed))) / (baseline.timed + PRIOR_RESPONSES)));
		increase(sums, 'late', rateRatio(next.late, next.timed, good, Math.min(0.95, good + BAD_LATE)));
		if (isRoute) {
			increase(sums, 'slow', timeRatio(firstsOf(next), firstsOf(baseline)));
		}
	}

	if (isRoute && next.ended > 0 && baseline.ended >= MIN_BASELINE) {
		increase(sums, 'slow-end', timeRatio(endsOf(next), endsOf(baseline)));
	}
};

export class Alarm {
	readonly #sums = new Map<string, Sums>();
	readonly #last = new Map<string, SummedRoute>();
	readonly #baselines = new Map<string, Counts>();
	#alarm: Verdict['alarm'];

	/** Judges what the totals show beyond those of the last call. */
	judge(routes: ReadonlyMap<string, SummedRoute>): Verdict {
		let allNext = noCounts;
		let all = noCounts;
		const parts: Array<{readonly route: string; readonly next: Counts; readonly baseline: Counts}> = [];
		for (const [route, total] of routes) {
			const last = this.#last.get(route) ?? {before: noCounts, next: noCounts};
			const baseline = this.#updateBaseline(route, addCounts(total.before, last.before, -1));
			const next = addCounts(total.next, last.next, -1);
			this.#last.set(route, {...total});
			allNext = addCounts(allNext, next);
			all = addCounts(all, baseline);
			parts.push({route, next, baseline});
		}

		for (const {route, next, baseline} of parts) {
			judge(this.#sumsOf(route), next, {baseline, all, isRoute: true});
		}

		judge(this.#sumsOf(ALL_ROUTES), allNext, {baseline: all, all, isRoute: false});
		return this.#verdict();
	}

	/** Later old responses replace earlier ones by their number; without later ones the baseline stays. */
	#updateBaseline(route: string, added: Counts): Counts {
		const keep = Math.exp(-responsesOf(added) / BASELINE_RESPONSES);
		const baseline = addCounts(added, this.#baselines.get(route) ?? noCounts, keep);
		this.#baselines.set(route, baseline);
		return baseline;
	}

	#sumsOf(route: string): Sums {
		const sums = this.#sums.get(route) ?? {
			failures: 0, slow: 0, late: 0, 'slow-end': 0,
		};
		this.#sums.set(route, sums);
		return sums;
	}

	#verdict(): Verdict {
		let score = 0;
		for (const [route, sums] of this.#sums) {
			for (const {key, reason} of KINDS) {
				score = Math.max(score, sums[key] / THRESHOLD);
				if (sums[key] >= THRESHOLD) {
					this.#alarm ??= {reason, route};
				}
			}
		}

		return {alarm: this.#alarm, isGood: !this.#alarm && score < GOOD_SHARE, score};
	}
}
