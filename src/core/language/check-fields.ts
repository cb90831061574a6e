/** Checks that the fields and properties in a statement exist, and that fields are compared with suitable values. */
import {JackdawwoodError} from '../errors/jackdawwood-error.js';
import {nearest} from '../settings/nearest.js';
import {UnknownField, UnknownProperty, UnsuitableComparison} from './errors-data.js';
import {properties} from './object-kinds.js';
import {type FieldUse} from './query-parser.js';
import {tables, type Column} from './tables.js';
import {type Query, type Statement, type Value} from './types.js';

/** Returns the known name that is nearest to a misspelt one, else all known names. */
const expectedNames = (name: string, known: readonly string[]): string => nearest(name, known) ?? known.join(', ');

const columnNumberOf = ({startOffset}: {readonly startOffset: number}): number => startOffset + 1;

const typeDescriptions = {text: 'a text', number: 'a number', flag: 'true or false'} as const;

const isOfColumnType = (value: Value, {type}: Column): boolean =>
	value === undefined || typeof value === {text: 'string', number: 'number', flag: 'boolean'}[type];

const orderingOperators = new Set(['<', '<=', '>', '>=']);

/** Returns what a field of this type may be compared with; undefined when the comparison is valid. */
const expectedComparison = ({operator, value}: FieldUse, column: Column): string | undefined => {
	if (operator === undefined) {
		return undefined;
	}

	if (operator === 'contains') {
		return column.type === 'text' && typeof value === 'string' ? undefined : 'contains with a text field and a text';
	}

	if (orderingOperators.has(operator) && (column.type === 'flag' || value === undefined)) {
		return '= or !=';
	}

	return isOfColumnType(value, column) ? undefined : typeDescriptions[column.type];
};

const checkColumn = (use: FieldUse, {table}: Query): JackdawwoodError | undefined => {
	const field = use.field.image;
	const {columns} = tables[table];
	const column = columns.find(({name}) => name === field);
	if (!column) {
		const expected = expectedNames(field, columns.map(({name}) => name));
		return new JackdawwoodError(UnknownField, {
			column: columnNumberOf(use.field), field, table, expected,
		});
	}

	const expected = expectedComparison(use, column);
	return expected === undefined
		? undefined
		: new JackdawwoodError(UnsuitableComparison, {
			column: columnNumberOf(use.valueToken ?? use.field), field, type: column.type, expected,
		});
};

const checkProperty = ({field}: FieldUse, statement: Statement): JackdawwoodError | undefined => {
	if (statement.kind !== 'create' && statement.kind !== 'change' && statement.kind !== 'change_sharing') {
		return undefined;
	}

	const object = statement.kind === 'change_sharing' ? 'sharing' : statement.object;
	const known = properties[object];
	return known.has(field.image)
		? undefined
		: new JackdawwoodError(UnknownProperty, {
			column: columnNumberOf(field), property: field.image, object, expected: expectedNames(field.image, [...known.keys()]),
		});
};

/** Returns the first fault among the fields and properties in a statement; undefined when there is none. */
export const checkFields = (statement: Statement, uses: readonly FieldUse[]): JackdawwoodError | undefined => {
	const faults = uses.map(use => statement.kind === 'query' ? checkColumn(use, statement) : checkProperty(use, statement));
	return faults.find(fault => fault !== undefined);
};
