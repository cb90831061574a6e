/** Runs one seeded schedule of faults against a whole fleet. */
import {setTimeout as delay} from 'node:timers/promises';
import {monotonicClock} from '../../src/runtime/monotonic-clock.js';
import {type Fleet} from '../fleet/fleet.js';
import {startFleet} from '../fleet/start-fleet.js';
import {runLoad} from '../load/run-load.js';
import {chaosLoad, chaosSpec, faultLocationsOf} from './chaos-fleet.js';
import {RECOVERY_MS} from './late-starts.js';
import {checkRun} from './check-run.js';
import {FaultInjector} from './faults.js';
import {HistoryLog} from './history-log.js';
import {planSchedule, scheduleText} from './plan-schedule.js';
import {timelineOf, type TimelineInterval} from './timeline.js';
import {type RunEvidence, type ScheduledFault, type Verdict} from './types.js';
import {waitForVersion, watchVersions} from './watch-versions.js';

export type ChaosOptions = {
	readonly seed: number;
	readonly durationMs: number;
	readonly say: (line: string) => void;
};

export type ChaosReport = {
	readonly seed: number;
	readonly duration_ms: number;
	readonly schedule: readonly ScheduledFault[];
	readonly verdicts: readonly Verdict[];
	readonly holds: boolean;
	readonly asked: number;
	readonly answered: number;
	readonly refused_by_reason: Readonly<Record<string, number>>;
	readonly retried_by_reason: Readonly<Record<string, number>>;
	readonly cold_violations_unwarned: number;
	readonly timeline: readonly TimelineInterval[];
};

const runSchedule = async (schedule: readonly ScheduledFault[], faultInjector: FaultInjector, say: ChaosOptions['say']): Promise<void> => {
	const startMs = monotonicClock.nowMs();
	await Promise.all(schedule.map(async fault => {
		await delay(fault.atMs);
		const sinceMs = monotonicClock.nowMs() - startMs;
		say(`${sinceMs.toFixed(0).padStart(7)} ms  ${fault.kind} ${fault.place}`);
		await faultInjector.inject(fault);
	}));
};

const collectEvidence = async (fleet: Fleet, schedule: readonly ScheduledFault[], options: ChaosOptions): Promise<RunEvidence> => {
	const historyLog = new HistoryLog();
	const ended = new AbortController();
	const watched = watchVersions(fleet, ended.signal);
	const runScheduleAndSettle = async (): Promise<readonly number[]> => {
		await runSchedule(schedule, new FaultInjector(fleet, historyLog), options.say);
		return waitForVersion(fleet, historyLog.history.acceptedVersion, RECOVERY_MS);
	};

	const [result, lastVersions] = await Promise.all([
		runLoad(chaosLoad(fleet, options.seed, options.durationMs), monotonicClock),
		runScheduleAndSettle(),
	]);
	ended.abort();
	return {
		result, lastVersions, history: historyLog.history, samples: await watched,
		targetIds: new Map(fleet.targets.map(({id, address}) => [address, id])),
	};
};

/** Starts a fleet, runs the load and the faults, and returns the report with the verdicts. The fleet is closed before it resolves. */
export const runChaos = async (options: ChaosOptions): Promise<ChaosReport> => {
	const fleet = await startFleet(chaosSpec(options.seed, options.say));
	try {
		const schedule = planSchedule(options.seed, options.durationMs, faultLocationsOf(fleet));
		options.say(`seed ${options.seed}, ${options.durationMs} ms:\n${scheduleText(schedule)}\n`);
		const evidence = await collectEvidence(fleet, schedule, options);
		const verdicts = checkRun(evidence);
		const {total, comparison} = evidence.result;
		return {
			seed: options.seed, duration_ms: options.durationMs, schedule, verdicts,
			holds: verdicts.every(({holds}) => holds),
			asked: total.asked, answered: total.answered,
			refused_by_reason: total.refusedByReason, retried_by_reason: total.retriedByReason,
			cold_violations_unwarned: comparison.coldViolationsUnwarned,
			timeline: timelineOf(evidence.result.results),
		};
	} finally {
		await fleet.close();
	}
};
