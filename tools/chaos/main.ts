#!/usr/bin/env node
/** `npm run chaos`: injects seeded faults into a whole fleet and checks the promises of the product against the records. */
import {consola} from 'consola';
import meow from 'meow';
import {runChaos, type ChaosReport} from './run-chaos.js';

const MS_PER_MINUTE = 60_000;
const EXIT_BROKEN_PROMISE = 1;
const EXIT_FAILURE = 2;

const cli = meow(`
	Usage
	  $ npm run chaos -- [options]

	Options
	  --seed N       seed of the schedule and of the load (default 1)
	  --minutes M    length of the load (default 1)
	  --json         print the report as JSON; progress is written to standard error

	Exit codes
	  0  every promise held
	  1  a promise was broken
	  2  the run failed, so that nothing was checked
`, {
	importMeta: import.meta,
	description: false,
	flags: {
		seed: {type: 'number', default: 1},
		minutes: {type: 'number', default: 1},
		json: {type: 'boolean', default: false},
	},
});

const print = (line: string): void => {
	process.stdout.write(`${line}\n`);
};

const say = cli.flags.json
	? (line: string): void => {
		process.stderr.write(`${line}\n`);
	}
	: print;

const printReport = (report: ChaosReport): void => {
	print(`\nasked ${report.asked}  answered ${report.answered}  refused ${JSON.stringify(report.refused_by_reason)}  retried ${JSON.stringify(report.retried_by_reason)}`);
	print(`requests beyond the contract of targets that had become cold without timely notice: ${report.cold_violations_unwarned}`);
	for (const {fromMs, asked, answered, answerMs} of report.timeline) {
		print(`sent from ${String(fromMs).padStart(7)} ms: asked ${asked}  answered ${answered}  mean ${answerMs} ms`);
	}

	for (const {promise, holds, details} of report.verdicts) {
		print(`${holds ? 'holds ' : 'BROKEN'}  ${promise}`);
		for (const detail of details) {
			print(`          ${detail}`);
		}
	}
};

try {
	const report = await runChaos({seed: cli.flags.seed, durationMs: Math.round(cli.flags.minutes * MS_PER_MINUTE), say});
	if (cli.flags.json) {
		print(JSON.stringify(report, undefined, '\t'));
	} else {
		printReport(report);
	}

	process.exitCode = report.holds ? 0 : EXIT_BROKEN_PROMISE;
} catch (error) {
	consola.error(error);
	process.exitCode = EXIT_FAILURE;
}
