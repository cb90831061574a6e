/** Measures how the costs of the control plane grow with the size of the fleet. */
import {writeFile} from 'node:fs/promises';
import {cpus, loadavg} from 'node:os';
import {decisionSeries} from './decision-trials.js';
import {printSeries} from './fit.js';
import {
	memberSeries, peerSeries, rateSeries, sizeSeries,
} from './link-trials.js';
import {type Series, type SlopesOptions, type SlopesResult} from './types.js';

const DEFAULT_SECONDS = 3;

/**
 * Runs the trials one after the other, logs each series with its fitted line, and returns all series.
 *
 * @example
 * await runSlopes({seed: 1, json: 'slopes.json', log: console.log});
 */
export const runSlopes = async ({seed, json, only = [], seconds = DEFAULT_SECONDS, log}: SlopesOptions): Promise<SlopesResult> => {
	const [loadBefore = 0] = loadavg();
	const series: Series[] = [];
	const trials = [
		{name: 'link/rate', run: async () => rateSeries(seconds)},
		{name: 'link/size', run: async () => sizeSeries(seconds)},
		{name: 'link/peers', run: async () => peerSeries(seconds)},
		{name: 'link/members', run: async () => memberSeries(seconds)},
		...decisionSeries(seed),
	];
	for (const {name, run} of trials) {
		if (only.length > 0 && !only.some(prefix => name.startsWith(prefix))) {
			continue;
		}

		for (const each of await run()) { // eslint-disable-line no-await-in-loop
			series.push(each);
			for (const line of printSeries(each)) {
				log(line);
			}
		}
	}

	const [loadAfter = 0] = loadavg();
	const [cpu] = cpus();
	const result: SlopesResult = {
		command: 'npm run measure -- slopes --json docs/capacity/slopes.json', seed, node: process.version, cpu: cpu?.model ?? 'unknown', cpus: cpus().length, loadBefore, loadAfter, series,
	};
	if (json !== undefined) {
		await writeFile(json, `${JSON.stringify(result, undefined, '\t')}\n`);
	}

	return result;
};
