/** Simulated decisions of the coordinator: how often it rolls a good version back or completes a bad one. */
import process from 'node:process';
import test from 'ava';
import {
	runDecision, type Behaviour, type Decision, type DecisionFigures,
} from './_decision.js';

/** Number of seeds for each case. The figures in `docs/operators/rolling-out-a-version.md` come from `ROLLOUT_RUNS=100 npx ava test/rollout/simulation.test.ts`. */
const RUNS = Number(process.env.ROLLOUT_RUNS ?? 4);
const TIMEOUT_MS = 600_000;
/** Bounds on the requests that a bad version may get, and on the time to roll it back: `exposure_share`, `exposure_slack` and `rollback_ms`. */
const SHARE = 0.1;
const SLACK = 50;
const ROLLBACK_MS = 5000;

const good: Behaviour = () => ({failed: 0, factor: 1});

type ServiceLoad = Pick<Decision, 'requestsPerS' | 'vms' | 'durationMs'>;
const large: ServiceLoad = {requestsPerS: 1000, vms: 75, durationMs: 12_000};
const small: ServiceLoad = {requestsPerS: 120, vms: 75, durationMs: 12_000};
const tiny: ServiceLoad = {requestsPerS: 25, vms: 6, durationMs: 12_000};
const long: ServiceLoad = {requestsPerS: 700, vms: 60, durationMs: 20_000};

const runAll = (load: ServiceLoad, next: Behaviour, more: Partial<Decision> = {}): readonly DecisionFigures[] =>
	Array.from({length: RUNS}, (_, index) => runDecision({
		...load, next, ...more, seed: 1 + index,
	}));

const countOf = (figures: readonly DecisionFigures[], phase: DecisionFigures['phase']): number => figures.filter(each => each.phase === phase).length;
const reasonsOf = (figures: readonly DecisionFigures[]): string => [...new Set(figures.map(({phase, reason}) => `${phase}: ${reason}`))].join(', ');

const goodCases: ReadonlyArray<readonly [string, ServiceLoad, Behaviour, Partial<Decision>]> = [
	['a large service', large, good, {}],
	['a small service', small, good, {}],
	['a service of a few requests a second', tiny, good, {}],
	['a longer time limit', long, good, {}],
	['both versions fail a twentieth of the requests', large, good, {failed: 0.05}],
	['both versions of a small service fail a twentieth of the requests', small, good, {failed: 0.05}],
	['response times that vary more', large, good, {deviation: 0.9}],
	['slower by a seventh, and twice as slow as that with empty caches', large, () => ({failed: 0, factor: 1.15}), {}],
];

for (const [title, load, next, more] of goodCases) {
	test(`a good version is completed in time: ${title}`, t => {
		t.timeout(TIMEOUT_MS);
		const figures = runAll(load, next, more);
		t.log(`${countOf(figures, 'completed')} of ${RUNS} completed; ${reasonsOf(figures)}; last at ${Math.max(...figures.map(({endMs}) => endMs))} ms`);
		t.is(countOf(figures, 'completed'), RUNS);
		t.true(figures.every(({endMs}) => endMs <= load.durationMs));
	});
}

const badCases: ReadonlyArray<readonly [string, Behaviour]> = [
	['fails a third', () => ({failed: 0.33, factor: 1})],
	['fails a tenth', () => ({failed: 0.1, factor: 1})],
	['four times as slow', () => ({failed: 0, factor: 4})],
	['eight times as slow', () => ({failed: 0, factor: 8})],
	['leaves a third without a response', () => ({failed: 0, factor: 1, hanging: 0.33})],
	['fails from 6 s on', ({atMs}) => ({failed: atMs > 6000 ? 0.33 : 0, factor: 1})],
	['four times as slow from 6.5 s on', ({atMs}) => ({failed: 0, factor: atMs > 6500 ? 4 : 1})],
	['fails on one route', ({route}) => ({failed: route === 2 ? 0.5 : 0, factor: 1})],
	['five times as slow on one route', ({route}) => ({failed: 0, factor: route === 1 ? 5 : 1})],
	['fails under load', ({share}) => ({failed: share >= 0.25 ? 0.3 : 0, factor: 1})],
	['five times as slow under load', ({share}) => ({failed: 0, factor: share >= 0.25 ? 5 : 1})],
];

for (const [loadTitle, load] of [['large', large], ['small', small]] as const) {
	for (const [title, next] of badCases) {
		test(`a bad version of a ${loadTitle} service is rolled back within the bounds: ${title}`, t => {
			t.timeout(TIMEOUT_MS);
			const figures = runAll(load, next);
			const over = figures.filter(({exposed, requests}) => exposed > (requests * SHARE) + SLACK).length;
			t.log(`${countOf(figures, 'rolled-back')} of ${RUNS} rolled back; ${reasonsOf(figures)}; `
				+ `exposed at most ${Math.max(...figures.map(({exposed}) => exposed))} of ${Math.round((figures[0]!.requests * SHARE) + SLACK)} allowed; `
				+ `at most ${Math.round(Math.max(...figures.map(({afterBadMs}) => afterBadMs)))} ms after the 50th bad response`);
			t.is(countOf(figures, 'rolled-back'), RUNS);
			t.is(over, 0);
			t.true(figures.every(({afterBadMs}) => afterBadMs <= ROLLBACK_MS));
		});
	}
}
