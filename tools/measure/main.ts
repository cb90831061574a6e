#!/usr/bin/env node
/** `npm run measure`: runs experiments on fleets of real processes and compares their figures with bounds. */
import {mkdir, writeFile} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';
import meow from 'meow';
import {runSlopes} from '../slopes/main.js';
import {verdictsOf} from './bounds.js';
import {experimentsFor} from './experiments.js';
import {type Figures} from './figures.js';
import {reportPage} from './report-page.js';
import {runExperiment} from './run-experiment.js';
import {type PolicyName, type SizeName} from './types.js';

const EXIT_BOUND = 1;
const EXIT_USAGE = 2;

const sizes: readonly SizeName[] = ['tariff', 'viljaveo'];
const policies: readonly PolicyName[] = ['fleet', 'local-drr', 'least-loaded'];

const cli = meow(`
	Usage
	  $ npm run measure -- NAME [options]
	  $ npm run measure -- list
	  $ npm run measure -- slopes [--seed N] [--json FILE]

	Options
	  --seed N           seed of the load (default 1)
	  --size NAME        tariff or viljaveo (default tariff)
	  --policy NAME      fleet, local-drr or least-loaded (default fleet)
	  --compare          runs the policy fleet, then the given baseline (default local-drr)
	  --tick MS          milliseconds between reports to a dispatcher
	  --duration MS      length of the load in milliseconds
	  --json FILE        writes the figures to a JSON file
	  --report DIR       writes an HTML page with plots

	Exit codes
	  0  all bounds are met
	  1  a bound is not met
	  2  invalid command line
`, {
	importMeta: import.meta,
	description: false,
	flags: {
		seed: {type: 'number', default: 1},
		size: {type: 'string', choices: [...sizes], default: 'tariff'},
		policy: {type: 'string', choices: [...policies], default: 'fleet'},
		compare: {type: 'boolean', default: false},
		tick: {type: 'number'},
		duration: {type: 'number'},
		json: {type: 'string'},
		report: {type: 'string'},
	},
});

const say = (line: string): void => {
	process.stderr.write(`${line}\n`);
};

const printLine = (line: string): void => {
	process.stdout.write(`${line}\n`);
};

const printFigures = (name: string, figures: Figures): boolean => {
	const verdicts = verdictsOf(name, figures);
	for (const [figure, value] of Object.entries(figures)) {
		if (typeof value === 'number') {
			const verdict = verdicts.find(item => item.figure === figure);
			printLine(`${figure.padEnd(28)} ${String(Math.round(value * 1000) / 1000).padStart(12)}${verdict ? `  ${verdict.isMet ? 'met' : 'NOT MET'}: ${verdict.text}` : ''}`);
		}
	}

	return verdicts.every(({isMet}) => isMet);
};

const printRatios = (own: Figures, baseline: Figures): void => {
	printLine(`\nratios to ${String(baseline.policy)}:`);
	for (const [figure, value] of Object.entries(own)) {
		const other = baseline[figure];
		if (typeof value === 'number' && typeof other === 'number' && other !== 0) {
			printLine(`${figure.padEnd(28)} ${(value / other).toFixed(3).padStart(12)}`);
		}
	}
};

const main = async (): Promise<number> => {
	const {flags} = cli;
	const size = sizes.find(item => item === flags.size) ?? 'tariff';
	const experiments = experimentsFor(size);
	const [name] = cli.input;
	if (name === 'slopes') {
		await runSlopes({seed: flags.seed, json: flags.json, log: printLine});
		return 0;
	}

	if (name === 'list') {
		for (const experiment of experiments) {
			printLine(`${experiment.name.padEnd(22)} ${experiment.description}`);
		}

		return 0;
	}

	const experiment = experiments.find(item => item.name === name);
	if (!experiment) {
		say(`Unknown experiment "${name ?? ''}"; list them with: npm run measure -- list`);
		return EXIT_USAGE;
	}

	const givenPolicy = policies.find(item => item === flags.policy) ?? 'fleet';
	const baseline = givenPolicy === 'fleet' ? 'local-drr' : givenPolicy;
	const compared: readonly PolicyName[] = flags.compare ? ['fleet', baseline] : [givenPolicy];
	const results: Figures[] = [];
	for (const policy of compared) {
		// eslint-disable-next-line no-await-in-loop
		const figures = await runExperiment(experiment, {
			size, policy, seed: flags.seed, say,
			...(flags.tick !== undefined && {tickMs: flags.tick}),
			...(flags.duration !== undefined && {durationMs: flags.duration}),
		});
		results.push(figures);
	}

	const [own, other] = results;
	const isMet = printFigures(experiment.name, own!);
	if (other) {
		printRatios(own!, other);
	}

	if (flags.json !== undefined) {
		await writeFile(flags.json, `${JSON.stringify(flags.compare ? results : own, undefined, '\t')}\n`);
	}

	if (flags.report !== undefined) {
		await mkdir(flags.report, {recursive: true});
		await writeFile(path.join(flags.report, `${experiment.name}.html`), reportPage(experiment, results));
	}

	return isMet ? 0 : EXIT_BOUND;
};

process.exit(await main());
