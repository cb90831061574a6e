/** Formats rows as a plain-text table. */
import {type Row} from '../../core/language/evaluate-query.js';
import {type Value} from '../../core/language/types.js';

const DECIMALS = 3;

/** Replaces control characters, which the terminal could execute as escape sequences. */
const replaceControlCharacters = (text: string): string => text.replaceAll(/\p{Cc}/gv, '?');

const cellText = (value: Value): string => {
	if (value === undefined) {
		return '-';
	}

	if (typeof value === 'boolean') {
		return value ? 'yes' : 'no';
	}

	return typeof value === 'number' ? String(Number(value.toFixed(DECIMALS))) : replaceControlCharacters(value);
};

const isNumeric = (column: string, rows: readonly Row[]): boolean =>
	rows.some(row => typeof row[column] === 'number') && rows.every(row => typeof row[column] !== 'string');

/** Aligns columns of numbers to the right, and all others to the left. Every line ends in a line break. */
export const renderTable = (columns: readonly string[], rows: readonly Row[]): string => {
	const cells = rows.map(row => columns.map(column => cellText(row[column])));
	const widths = columns.map((column, index) => Math.max(column.length, ...cells.map(line => line[index]?.length ?? 0)));
	const numeric = columns.map(column => isNumeric(column, rows));
	const line = (texts: readonly string[]): string => texts
		.map((text, index) => numeric[index] ? text.padStart(widths[index] ?? 0) : text.padEnd(widths[index] ?? 0))
		.join('  ')
		.trimEnd();
	return [columns, ...cells].map(texts => `${line(texts)}\n`).join('');
};
