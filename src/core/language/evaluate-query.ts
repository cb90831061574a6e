/** Evaluates a query on the rows of its table. */
import {tables} from './tables.js';
import {
	type Condition, type Operator, type Query, type SortKey, type Value,
} from './types.js';

/** One row of a table: plain JSON values by column. A column without a value is left out. */
export type Row = Readonly<Record<string, Value>>;

/** The rows that a query selects, and their columns in the order in which they are shown. */
export type QueryResult = {
	readonly columns: readonly string[];
	readonly rows: readonly Row[];
};

const valueOf = (row: Row, field: string): Value => row[field];

/** Returns a negative number, zero or a positive number as in a sort; undefined for values that have no order. */
const compareValues = (left: Value, right: Value): number | undefined => {
	if (typeof left === 'number' && typeof right === 'number') {
		return left - right;
	}

	if (typeof left === 'string' && typeof right === 'string') {
		return left < right ? -1 : Number(left > right);
	}

	return undefined;
};

const comparisons: Readonly<Record<Operator, (left: Value, right: Value) => boolean>> = {
	'=': (left, right) => left === right,
	'!=': (left, right) => left !== right,
	'<': (left, right) => (compareValues(left, right) ?? 0) < 0,
	'<=': (left, right) => (compareValues(left, right) ?? 1) <= 0,
	'>': (left, right) => (compareValues(left, right) ?? 0) > 0,
	'>=': (left, right) => (compareValues(left, right) ?? -1) >= 0,
	contains: (left, right) => typeof left === 'string' && typeof right === 'string' && left.includes(right),
};

const matches = (condition: Condition, row: Row): boolean => {
	switch (condition.kind) {
		case 'and': {
			return condition.conditions.every(child => matches(child, row));
		}

		case 'or': {
			return condition.conditions.some(child => matches(child, row));
		}

		case 'not': {
			return !matches(condition.condition, row);
		}

		case 'compare': {
			return comparisons[condition.operator](valueOf(row, condition.field), condition.value);
		}

		case 'flag': {
			return valueOf(row, condition.field) === true;
		}
	}
};

const toSortValue = (value: Value): string | number | undefined => typeof value === 'boolean' ? Number(value) : value;

/** Compares rows by one field. Rows without the field come last, in either direction. */
const compareBy = ({field, descending}: SortKey) => (left: Row, right: Row): number => {
	const a = toSortValue(valueOf(left, field));
	const b = toSortValue(valueOf(right, field));
	if (a === undefined || b === undefined) {
		return Number(a === undefined) - Number(b === undefined);
	}

	return (compareValues(a, b) ?? 0) * (descending ? -1 : 1);
};

/** Compares rows by several keys; a later key decides between rows that are equal by the earlier ones. */
export const compareByAll = (keys: readonly SortKey[]) => (left: Row, right: Row): number => {
	for (const key of keys) {
		const result = compareBy(key)(left, right);
		if (result !== 0) {
			return result;
		}
	}

	return 0;
};

/** Filters, sorts, limits and projects rows, in this order. */
export const evaluateQuery = (query: Query, rows: readonly Row[]): QueryResult => {
	const columns = query.show.length > 0 ? query.show : tables[query.table].columns.map(({name}) => name);
	const {where} = query;
	const selected = rows
		.filter(row => where === undefined || matches(where, row))
		.toSorted(compareByAll(query.sort))
		.slice(0, query.limit);
	return {
		columns,
		rows: selected.map(row => Object.fromEntries(columns.map(column => [column, valueOf(row, column)]))),
	};
};
