#!/usr/bin/env node
/** Command line of the load generator: sends the load described by a settings file and writes a report. */
import {writeFile} from 'node:fs/promises';
import {consola} from 'consola';
import meow from 'meow';
import {monotonicClock} from '../../src/runtime/monotonic-clock.js';
import {readSettings} from '../../standins/shared/settings.js';
import {isClean, reportOf} from './report.js';
import {runLoad, totalOf} from './run-load.js';
import {loadSettingsSchema} from './settings.js';
import {type Tally} from './tally.js';

const EXIT_UNCLEAN = 1;
const EXIT_USAGE = 2;
const MS_PER_S = 1000;

const cli = meow(`
	Usage
	  $ load --settings FILE

	Exit codes: 0 if no response was lost, duplicated or delivered to another request, no debit
	ran twice or without a record at a target, and every "not run" was true;
	1 otherwise; 2 for an invalid command line or settings file.
`, {importMeta: import.meta, flags: {settings: {type: 'string', isRequired: true}}});

const printProgress = (tallies: ReadonlyMap<string, Tally>, elapsedMs: number): void => {
	const {asked, answered, refused, lost} = totalOf(tallies.values());
	process.stderr.write(`${(elapsedMs / MS_PER_S).toFixed(0)} s: asked ${asked}, answered ${answered}, refused ${refused}, lost ${lost}\n`);
};

const main = async (): Promise<number> => {
	const cfg = await readSettings(cli.flags.settings, loadSettingsSchema);
	const stopController = new AbortController();
	process.once('SIGTERM', () => {
		stopController.abort();
	});
	const result = await runLoad(cfg, monotonicClock, {onProgress: printProgress, signal: stopController.signal});
	const report = JSON.stringify(reportOf(cfg, result), undefined, '\t');
	await (cfg.report === undefined ? process.stdout.write(`${report}\n`) : writeFile(cfg.report, report));
	return isClean(result) ? 0 : EXIT_UNCLEAN;
};

try {
	process.exitCode = await main();
} catch (error) {
	consola.error(error);
	process.exitCode = EXIT_USAGE;
}
