/**
 * Watches how far this process is behind its work: how late a timer of its own fires, and
 * how much processor time it used. Requests that wait to be read show nowhere else.
 */
import process from 'node:process';
import {type Clock} from '../../core/clock.js';
import {type Log} from './log.js';
import {type Metrics} from './metrics.js';

/** Milliseconds between looks; each is a wake-up, and a stall as long as a look is noticed soon enough. */
const LOOK_MS = 250;
/** Milliseconds between log lines. */
const LINE_MS = 5000;
const US_PER_MS = 1000;

export type LoopDelay = {
	/** Milliseconds by which the last look came late. */
	readonly lastMs: () => number;
	readonly stop: () => void;
};

const cpuMs = (): number => {
	const {user, system} = process.cpuUsage();
	return (user + system) / US_PER_MS;
};

/** Starts to watch; `heard` tells how many other VMs are heard, for the line. */
export const startLoopDelay = ({clock, log, metrics, heard}: {
	readonly clock: Clock; readonly log: Log; readonly metrics: Metrics; readonly heard: () => number;
}): LoopDelay => {
	let dueMs = clock.nowMs() + LOOK_MS;
	let lastMs = 0;
	let line = {atMs: clock.nowMs(), cpuMs: cpuMs(), maxDelayMs: 0};
	let timer: NodeJS.Timeout;

	const writeLine = (nowMs: number): void => {
		const usedMs = cpuMs();
		const spanMs = nowMs - line.atMs;
		log.info('processor', {
			used_ms: Math.round(usedMs - line.cpuMs), of_ms: Math.round(spanMs), max_delay_ms: Math.round(line.maxDelayMs), since_start_ms: Math.round(usedMs), vms_heard: heard(),
		});
		line = {atMs: nowMs, cpuMs: usedMs, maxDelayMs: 0};
	};

	const look = (): void => {
		const nowMs = clock.nowMs();
		lastMs = Math.max(0, nowMs - dueMs);
		metrics.loopDelay.observe(lastMs / 1000);
		line = {...line, maxDelayMs: Math.max(line.maxDelayMs, lastMs)};
		if (nowMs - line.atMs >= LINE_MS) {
			writeLine(nowMs);
		}

		dueMs = nowMs + LOOK_MS;
		timer = setTimeout(look, LOOK_MS);
	};

	timer = setTimeout(look, LOOK_MS);
	return {
		lastMs: () => lastMs,
		stop() {
			clearTimeout(timer);
		},
	};
};
