/**
 * Measures the load of this process: how late a timer fires on its event loop, and how much
 * processor time it uses. Requests that are not read from their sockets yet appear in no other
 * measurement.
 */
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {type CpuCosts} from '../../core/admission/cpu-costs.js';
import {type Clock} from '../../core/clock.js';
import {onCommonTick, TICK_MS} from './common-tick.js';
import {type Log} from './log.js';
import {type Metrics} from './metrics.js';
import {type WorkCounts} from './work-counts.js';

/** Milliseconds between log lines. */
const LOG_MS = 5000;
const US_PER_MS = 1000;
const PERCENT = 100;
/** Delay of a check, in milliseconds, above which callers' input may not have been read yet. */
const LATE_MS = 10;

export type LoopDelay = {
	/** Whether the last check came so late that callers' input, such as a disconnect, may not have been read yet. */
	readonly isLate: () => boolean;
	readonly stop: () => void;
};

/** Returns the processor time that this process has used, in milliseconds. */
export const cpuMs = (): number => {
	const {user, system} = process.cpuUsage();
	return (user + system) / US_PER_MS;
};

/** Returns the time that the event loop has been idle, in milliseconds. */
export const idleMs = (): number => performance.eventLoopUtilization().idle;

export type LoopDelayOptions = {
	readonly clock: Clock;
	readonly log: Log;
	readonly metrics: Metrics;
	/** Returns the number of other VMs whose load reports are fresh, for the log line. */
	readonly reportingVms: () => number;
	/** Called at each check with the milliseconds by which it came late. */
	readonly onCheck: (delayMs: number) => void;
	/** Returns the share of requests that is refused, for the log line. */
	readonly refusedShare: () => number;
	/** The work of this process, for the log line. */
	readonly work: Pick<WorkCounts, 'measure' | 'take'>;
	/** Returns the estimated costs by which requests are admitted, for the log line; undefined where none are estimated. */
	readonly estimatedCosts: () => CpuCosts | undefined;
};

const roundToHundredths = (value: number): number => Math.round(value * PERCENT) / PERCENT;

/** Starts the periodic checks. */
export const startLoopDelay = ({clock, log, metrics, reportingVms, onCheck, refusedShare, work, estimatedCosts}: LoopDelayOptions): LoopDelay => {
	let dueMs: number | undefined;
	let lastDelayMs = 0;
	let period = {
		atMs: clock.nowMs(), cpuMs: cpuMs(), maxDelayMs: 0, sumMs: 0, checks: 0,
	};

	const logPeriod = (usedMs: number, nowMs: number): void => {
		const costs = estimatedCosts();
		const spanMs = nowMs - period.atMs;
		log.info('processor', {
			used_ms: Math.round(usedMs - period.cpuMs),
			of_ms: Math.round(spanMs),
			mean_delay_ms: Math.round(period.sumMs / period.checks),
			max_delay_ms: Math.round(period.maxDelayMs),
			since_start_ms: Math.round(usedMs),
			vms_heard: reportingVms(),
			refused_share: roundToHundredths(refusedShare()),
			...work.take(),
			...(costs && {
				admitted_cost_ms: roundToHundredths(costs.admittedMs),
				refused_cost_ms: roundToHundredths(costs.refusedMs),
				open_cost_ms_per_s: roundToHundredths(costs.openMs),
				idle_cost_ms_per_s: roundToHundredths(costs.idleMs),
			}),
		});
		period = {
			atMs: nowMs, cpuMs: usedMs, maxDelayMs: 0, sumMs: 0, checks: 0,
		};
	};

	const check = (): void => {
		const nowMs = clock.nowMs();
		lastDelayMs = Math.max(0, nowMs - (dueMs ?? nowMs));
		metrics.loopDelay.observe(lastDelayMs / 1000);
		onCheck(lastDelayMs);
		period = {
			...period, maxDelayMs: Math.max(period.maxDelayMs, lastDelayMs), sumMs: period.sumMs + lastDelayMs, checks: period.checks + 1,
		};
		const usedMs = cpuMs();
		work.measure(usedMs, nowMs);
		if (nowMs - period.atMs >= LOG_MS) {
			logPeriod(usedMs, nowMs);
		}

		dueMs = nowMs + TICK_MS;
	};

	const stop = onCommonTick(check);
	return {
		isLate: () => lastDelayMs > LATE_MS,
		stop,
	};
};
