/** Formats the table at the end of the demo. */
import {type LoadResult} from '../load/run-load.js';
import {type Summary} from './summary.js';

const percent = (part: number, whole: number): string => whole === 0 ? '-' : `${(100 * part / whole).toFixed(1)} %`;

/** Formats counts by reason in one line. */
export const reasonsText = (reasons: Readonly<Record<string, number>>): string =>
	Object.entries(reasons).map(([reason, count]) => `${reason} ${count}`).join(', ') || '-';

/** Pads the cells of each column; the first and the last column are left-aligned, the others right-aligned. */
const alignColumns = (rows: ReadonlyArray<readonly string[]>): string => {
	const widths = rows[0]?.map((_, column) => Math.max(...rows.map(row => row[column]?.length ?? 0))) ?? [];
	const pad = (cell: string, column: number): string => {
		const width = widths[column] ?? 0;
		return column === 0 || column === widths.length - 1 ? cell.padEnd(width) : cell.padStart(width);
	};

	return rows.map(row => row.map((cell, column) => pad(cell, column)).join('  ').trimEnd()).join('\n');
};

/** Formats one line per team with its requests and its service; the shares are those of the model service. */
export const teamTable = (result: LoadResult, {shares}: Summary): string => {
	const total = shares.reduce((sum, {got}) => sum + got, 0);
	const rows = shares.map(({name, got, due}) => {
		const tally = result.tallies.get(name)!;
		return [
			name,
			String(tally.asked),
			String(tally.answered),
			percent(got, total),
			percent(due, total),
			percent(got, due),
			reasonsText(tally.refusedByReason),
		];
	});
	const head = ['team', 'asked', 'answered', 'share', 'fair share', 'got / due', 'refused by reason'];
	return alignColumns([head, ...rows]);
};
