/** Merges the rows that several VMs report about the same objects. */
import {compareByAll, type Row} from './evaluate-query.js';
import {tables, type Column, type Merge} from './tables.js';
import {type TableName} from './types.js';

type Cell = Row[string];

const toNumbers = (cells: readonly Cell[]): readonly number[] => cells.filter(cell => typeof cell === 'number');

const sumOf = (numbers: readonly number[]): number => {
	let total = 0;
	for (const number of numbers) {
		total += number;
	}

	return total;
};

/** States of an object in normal service. Any other state that a VM reports takes precedence over them. */
const normalStates = new Set<Cell>(['in', 'live']);

const first = (cells: readonly Cell[]): Cell => cells.find(cell => cell !== undefined);

const mergeFunctions: Readonly<Record<Merge, (cells: readonly Cell[]) => Cell>> = {
	key: first,
	first,
	state: cells => first(cells.filter(cell => !normalStates.has(cell))) ?? first(cells),
	sum: cells => sumOf(toNumbers(cells)),
	max: cells => toNumbers(cells).toSorted((left, right) => right - left)[0],
	any: cells => cells.includes(true),
};

const mergeGroup = (columns: readonly Column[], group: readonly Row[]): Row =>
	Object.fromEntries(columns.map(({name, merge}) => [name, mergeFunctions[merge](group.map(row => row[name]))]));

/** Returns one row for each object, ordered by its key columns. */
export const mergeRows = (table: TableName, rows: readonly Row[]): readonly Row[] => {
	const {columns} = tables[table];
	const keys = columns.filter(({merge}) => merge === 'key');
	const groups = new Map<string, Row[]>();
	for (const row of rows) {
		const id = JSON.stringify(keys.map(({name}) => row[name]));
		groups.set(id, [...groups.get(id) ?? [], row]);
	}

	return [...groups.values()]
		.map(group => mergeGroup(columns, group))
		.toSorted(compareByAll(keys.map(({name}) => ({field: name, descending: false}))));
};
