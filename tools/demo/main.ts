#!/usr/bin/env node
/** `npm run demo`: runs a load of 20 s on a fleet on loopback and prints the figures and a table of the teams. */
import {setTimeout as delay} from 'node:timers/promises';
import {consola} from 'consola';
import {monotonicClock} from '../../src/runtime/monotonic-clock.js';
import {type Fleet} from '../fleet/fleet.js';
import {startFleet} from '../fleet/start-fleet.js';
import {isClean} from '../load/report.js';
import {runLoad, totalOf, type LoadResult} from '../load/run-load.js';
import {percentilesOf, type Tally} from '../load/tally.js';
import {demoFleet} from './demo-fleet.js';
import {demoLoad} from './demo-load.js';
import {sumOverRouters} from './metrics-sum.js';
import {takeOutAndBringBack} from './scenario.js';
import {summarise, type Summary} from './summary.js';
import {reasonsText, teamTable} from './table.js';

const DURATION_MS = 20_000;
const EXIT_FAILURE = 2;
const MS_PER_S = 1000;
/** Every byte that one VM sends is received by another, so only one direction is counted. */
const CONTROL_BYTES_SENT = 'jackdawwood_control_bytes{direction="sent"}';

const print = (line: string): void => {
	process.stdout.write(`${line}\n`);
};

const printProgress = (tallies: ReadonlyMap<string, Tally>, elapsedMs: number): void => {
	const {asked, answered, refused, lost} = totalOf(tallies.values());
	print(`${(elapsedMs / MS_PER_S).toFixed(0).padStart(3)} s  asked ${asked}  answered ${answered}  refused ${refused}  open ${asked - answered - refused - lost}  lost ${lost}`);
};

const printSummary = (result: LoadResult, summary: Summary, controlBytes: number): void => {
	const {total, comparison} = result;
	print(`\n${teamTable(result, summary)}\n`);
	print(`fairness gap: ${summary.fairnessGap.max.toFixed(2)} largest requests at most, ${summary.fairnessGap.p99.toFixed(2)} at p99 of ${summary.fairnessGap.windows} windows`);
	print(`utilisation while requests were queued: ${summary.utilisation.toFixed(3)}`);
	print(`retries: ${reasonsText(total.retriedByReason)}`);
	const {p50, p99} = percentilesOf(total.responseUs);
	print(`response time: ${p50?.toFixed(0)} ms at the median, ${p99?.toFixed(0)} ms at p99`);
	print(`control bytes per request: ${(controlBytes / total.attempts).toFixed(0)}, ${(controlBytes / result.elapsedMs).toFixed(0)} KB per second over all routers`);
	print(`requests started at the removed data centre later than 3 s after its removal: ${summary.lateNewWork}`);
	print(`cold violations: ${comparison.coldViolations}  overloads at targets: ${comparison.overloads}`);
	print(`lost ${total.lost}  doubled ${total.doubled + comparison.doubled.length}  crossed ${total.crossed}  false "not run" ${comparison.falseNotRun.length}`);
	for (const fault of total.faults) {
		print(`  ${fault}`);
	}
};

const runDemo = async (fleet: Fleet): Promise<boolean> => {
	const bytesBefore = await sumOverRouters(fleet, CONTROL_BYTES_SENT);
	const fromMs = Date.now();
	const [result, outage] = await Promise.all([
		runLoad(demoLoad(fleet, DURATION_MS), monotonicClock, {onProgress: printProgress}),
		takeOutAndBringBack(fleet, print),
	]);
	// The routers update their metrics of control bytes once per second.
	await delay(MS_PER_S);
	const bytesAfter = await sumOverRouters(fleet, CONTROL_BYTES_SENT);
	printSummary(result, summarise(fleet, result, {fromMs, toMs: fromMs + DURATION_MS}, outage), bytesAfter - bytesBefore);
	return isClean(result);
};

const main = async (): Promise<number> => {
	print('starting 7 routers, 9 targets, the platform and a fault proxy');
	const fleet = await startFleet(demoFleet);
	print('ready; 16 teams send requests for 20 s');
	try {
		return await runDemo(fleet) ? 0 : 1;
	} finally {
		await fleet.close();
	}
};

try {
	process.exitCode = await main();
} catch (error) {
	consola.error(error);
	process.exitCode = EXIT_FAILURE;
}
