/** Formats an HTML page with the figures of runs and plots of the teams' shares. */
import {type Figures} from './figures.js';
import {type Experiment} from './types.js';

const BAR_WIDTH = 420;
const ROW_HEIGHT = 20;
const LABEL_WIDTH = 90;

type Share = {readonly name: string; readonly got: number; readonly due: number};

const escape = (text: string): string => text.replaceAll('&', '&amp;').replaceAll('<', '&lt;');

const isShare = (value: unknown): value is Share => typeof value === 'object' && value !== null && 'got' in value && 'due' in value;

/** Draws a bar for each team's service, with a line at its fair share. */
const sharesPlot = (figures: Figures): string => {
	const teams: readonly unknown[] = Array.isArray(figures.teams) ? figures.teams : [];
	const shares = teams.filter(team => isShare(team));
	const largest = Math.max(1, ...shares.flatMap(({got, due}) => [got, due]));
	const x = (cost: number) => LABEL_WIDTH + (BAR_WIDTH * cost / largest);
	const rows = shares.map(({name, got, due}, index) => {
		const y = index * ROW_HEIGHT;
		return `<text x="0" y="${y + 14}">${escape(name)}</text>`
			+ `<rect x="${LABEL_WIDTH}" y="${y + 3}" width="${x(got) - LABEL_WIDTH}" height="${ROW_HEIGHT - 6}" fill="#4c78a8"/>`
			+ `<line x1="${x(due)}" x2="${x(due)}" y1="${y + 1}" y2="${y + ROW_HEIGHT - 1}" stroke="#d62728" stroke-width="2"/>`;
	});
	return `<svg width="${LABEL_WIDTH + BAR_WIDTH + 10}" height="${shares.length * ROW_HEIGHT}" font-size="12" font-family="sans-serif">${rows.join('')}</svg>`;
};

const figureRows = (runs: readonly Figures[]): string => Object.entries(runs[0] ?? {})
	.filter(([, value]) => typeof value !== 'object')
	.map(([figure]) => `<tr><th>${escape(figure)}</th>${runs.map(run => `<td>${escape(String(run[figure]))}</td>`).join('')}</tr>`)
	.join('\n');

/** Formats the page of one experiment, with one column per run. */
export const reportPage = ({name, description}: Experiment, runs: readonly Figures[]): string => `<!doctype html>
<meta charset="utf-8">
<title>${escape(name)}</title>
<style>body{font-family:sans-serif;margin:2em}th{text-align:left;padding-right:1em}td{text-align:right;padding-right:1em}</style>
<h1>${escape(name)}</h1>
<p>${escape(description)}</p>
<table>${figureRows(runs)}</table>
${runs.map(run => `<h2>${escape(String(run.policy))}: service, and fair share (red)</h2>\n${sharesPlot(run)}`).join('\n')}
`;
