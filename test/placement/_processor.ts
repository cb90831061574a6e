/** Simulates the event loop of a VM that has a share of a processor: work waits for the work before it. */
import {type Step, type WorkCosts} from './_work-costs.js';

type Work = {readonly costMs: () => number; readonly run: (nowMs: number) => void};

export type Processor = {
	/** Adds a step of a request. It runs once the work before it and its own cost are done. */
	readonly step: (step: Step, nowMs: number, run: (nowMs: number) => void, extraMs?: () => number) => void;
	/** Adds work that costs a fixed time. */
	readonly work: (costMs: number, nowMs: number, run: (nowMs: number) => void) => void;
	/** Processor time used so far, in milliseconds. */
	readonly usedMs: () => number;
	/** Time without work so far, in milliseconds. */
	readonly idleMs: (nowMs: number) => number;
};

/** @param schedule - Calls a function at a time; a call for the present moment or an earlier one is made at once. */
export const createProcessor = (share: number, costs: WorkCosts, schedule: (atMs: number, act: (nowMs: number) => void) => void): Processor => {
	const runs = new Map<Step, number>();
	const queue: Work[] = [];
	let isBusy = false;
	let usedMs = 0;
	let idle = {sinceMs: 0, totalMs: 0};

	const next = (nowMs: number): void => {
		const work = queue.shift();
		if (!work) {
			isBusy = false;
			idle = {...idle, sinceMs: nowMs};
			return;
		}

		const costMs = work.costMs();
		usedMs += costMs;
		schedule(nowMs + (costMs / share), atMs => {
			work.run(atMs);
			next(atMs);
		});
	};

	const add = (work: Work, nowMs: number): void => {
		queue.push(work);
		if (!isBusy) {
			isBusy = true;
			idle = {...idle, totalMs: idle.totalMs + (nowMs - idle.sinceMs)};
			next(nowMs);
		}
	};

	const costOf = (step: Step): number => {
		const count = runs.get(step) ?? 0;
		runs.set(step, count + 1);
		return costs.warmMs[step] * (1 + ((costs.coldFactor - 1) / (1 + (count / costs.coldRuns))));
	};

	return {
		step(step, nowMs, run, extraMs = () => 0) {
			add({costMs: () => costOf(step) + extraMs(), run}, nowMs);
		},
		work(costMs, nowMs, run) {
			add({costMs: () => costMs, run}, nowMs);
		},
		usedMs: () => usedMs,
		idleMs: nowMs => idle.totalMs + (isBusy ? 0 : nowMs - idle.sinceMs),
	};
};
