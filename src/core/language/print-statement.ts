/** Prints statements in their canonical form, which parses to the same statement. */
import {
	type Command, type Condition, type Property, type Query, type SortKey, type Statement, type Value,
} from './types.js';

const BARE_WORD = /^[a-z_][\w.\-:@]*$/iv;
const RESERVED_WORDS = new Set(['and', 'or', 'not', 'true', 'false', 'none', 'contains']);

const quoteUnlessBare = (text: string): string => BARE_WORD.test(text) && !RESERVED_WORDS.has(text) ? text : JSON.stringify(text);

const printValue = (value: Value): string => {
	if (value === undefined) {
		return 'none';
	}

	return typeof value === 'string' ? quoteUnlessBare(value) : String(value);
};

const printOperand = (condition: Condition): string =>
	condition.kind === 'and' || condition.kind === 'or' ? `(${printCondition(condition)})` : printCondition(condition);

const printCondition = (condition: Condition): string => {
	switch (condition.kind) {
		case 'and':
		case 'or': {
			return condition.conditions.map(operand => printOperand(operand)).join(` ${condition.kind} `);
		}

		case 'not': {
			return `not ${printOperand(condition.condition)}`;
		}

		case 'compare': {
			return `${condition.field} ${condition.operator} ${printValue(condition.value)}`;
		}

		case 'flag': {
			return condition.field;
		}
	}
};

const printSortKey = ({field, descending}: SortKey): string => descending ? `${field} desc` : field;

const printQuery = ({table, where, sort, limit, show}: Query): string => [
	table,
	where && `where ${printCondition(where)}`,
	sort.length > 0 && `sort by ${sort.map(key => printSortKey(key)).join(', ')}`,
	limit !== undefined && `limit ${limit}`,
	show.length > 0 && `show ${show.join(', ')}`,
].filter(Boolean).join(' ');

const printProperties = (properties: readonly Property[]): string =>
	properties.map(({name, value}) => `${name} ${printValue(value)}`).join(' ');

const printCommand = (command: Command): string => {
	const name = 'name' in command ? quoteUnlessBare(command.name) : '';
	switch (command.kind) {
		case 'create': {
			return `create ${command.object} ${name} ${printProperties(command.properties)}`.trimEnd();
		}

		case 'change': {
			return `change ${command.object} ${name} set ${printProperties(command.properties)}`;
		}

		case 'change_sharing': {
			return `change sharing set ${printProperties(command.properties)}`;
		}

		case 'remove': {
			return `remove ${command.object} ${name}`;
		}

		case 'take_out': {
			return `take data_centre ${name} out`;
		}

		case 'bring_back': {
			return `bring data_centre ${name} back`;
		}

		case 'drain':
		case 'undrain': {
			return `${command.kind} target ${name}`;
		}

		case 'add_token': {
			return `add token ${quoteUnlessBare(command.hash)} to ${command.object} ${name}`;
		}

		case 'remove_token': {
			return `remove token ${quoteUnlessBare(command.hash)} from ${command.object} ${name}`;
		}

		case 'revert': {
			return `revert to version ${command.version}`;
		}
	}
};

/**
 * Returns the canonical text of a statement.
 *
 * @example
 * printStatement({kind: 'drain', name: 'tariff-1'}); // 'drain target tariff-1'
 */
export const printStatement = (statement: Statement): string =>
	statement.kind === 'query' ? printQuery(statement) : printCommand(statement);
