import {isDeepStrictEqual} from 'node:util';
import test from 'ava';
import fc from 'fast-check';
import {objectKinds, operators, tableNames} from '../../src/core/language/names.js';
import {properties} from '../../src/core/language/object-kinds.js';
import {parseStatement} from '../../src/core/language/parse-statement.js';
import {printStatement} from '../../src/core/language/print-statement.js';
import {tables, type Column} from '../../src/core/language/tables.js';
import {
	type Command, type Condition, type Query, type Statement,
} from '../../src/core/language/types.js';

const statements = [
	'teams where backlogged and weight > 2 sort by behind desc limit 5 show name, behind',
	'targets where (cold or state = draining) and not service contains "tariff"',
	'config_history sort by version desc limit 3',
	'create team couriers weight 2',
	'create target tariff-1 service tariff data_centre colombo address 127.0.0.1:9001 cold_limit 2',
	'change team couriers set weight 3, max_queued 50',
	'change contract tariff-1 set warm_limit none',
	'change sharing set tick_ms 20',
	'remove data_centre colombo',
	'take data_centre colombo out',
	'bring data_centre colombo back',
	'drain target tariff-1',
	'undrain target tariff-1',
	'add token "00ff" to operator ruwan',
	'remove token 00ff from team couriers',
	'revert to version 12',
];

const invalidStatements = [
	'',
	'foo',
	'teams where',
	'teams sort behind',
	'teams limit 2.5',
	'teams where wieght > 2',
	'teams where weight > "a"',
	'teams where backlogged > true',
	'teams where (backlogged',
	'teams show name backlogged',
	'teams where name = "open',
	'teams $',
	'create zebra x',
	'change team couriers set wait 4',
	'take data_centre colombo',
	'take team couriers out',
	'drain target tariff-1 now',
	'revert to version latest',
	`teams where ${'('.repeat(60)}`,
	'x'.repeat(3000),
];

const shorten = (text: string): string => text.length > 90 ? `${text.slice(0, 90)}...` : text;

test('each form of statement gives its syntax tree', t => {
	for (const text of statements) {
		t.snapshot({text, statement: parseStatement(text).statement});
	}
});

test('a fault points at the column and says what was expected', t => {
	t.snapshot(invalidStatements.map(text => `${shorten(text)}\n  ${parseStatement(text).fault?.message ?? 'no fault'}`).join('\n'));
});

test('any text gives a statement, or a typed fault whose column is within the text or one past its end', t => {
	const piece = fc.constantFrom(...statements.flatMap(text => text.split(' ')), '(', ')', ',', '=', '"', '\\', '-1', '1e999', 'not', '  ', '\n');
	const text = fc.oneof(fc.string({unit: 'binary'}), fc.array(fc.oneof(piece, fc.string({maxLength: 3})), {maxLength: 40}).map(pieces => pieces.join(' ')));
	const hasStatementOrColumn = (sample: string): boolean => {
		const {statement, fault} = parseStatement(sample);
		const column = Number(fault?.details.column ?? Number.NaN);
		return statement !== undefined || (column >= 1 && column <= sample.length + 1);
	};

	t.notThrows(() => {
		fc.assert(fc.property(text, hasStatementOrColumn), {seed: 31, numRuns: 3000});
	});
});

const anyText = fc.oneof(fc.string({unit: fc.constantFrom(...'abcxyz019.-_:@'), maxLength: 9}), fc.string({unit: 'grapheme', maxLength: 8}), fc.constantFrom('and', 'none', 'where', '12', 'teams'));
const anyNumber = fc.oneof(fc.integer(), fc.double({noDefaultInfinity: true, noNaN: true}).map(value => value + 0));
const anyValue = fc.oneof(anyText, anyNumber, fc.boolean(), fc.constant(undefined));

const comparisonWith = (column: Column): fc.Arbitrary<Condition> => {
	const compare = (allowed: Array<typeof operators[number]>, value: fc.Arbitrary<string | number | boolean | undefined>): fc.Arbitrary<Condition> =>
		fc.record({
			kind: fc.constant('compare' as const), field: fc.constant(column.name), operator: fc.constantFrom(...allowed), value,
		});
	switch (column.type) {
		case 'text': {
			return compare([...operators], anyText);
		}

		case 'number': {
			return compare(['=', '!=', '<', '<=', '>', '>='], anyNumber);
		}

		case 'flag': {
			return fc.oneof(compare(['=', '!='], fc.option(fc.boolean(), {nil: undefined})), fc.constant({kind: 'flag' as const, field: column.name}));
		}
	}
};

const anyCondition = (columns: readonly Column[]): fc.Arbitrary<Condition> => fc.letrec<{readonly condition: Condition}>(tie => ({
	condition: fc.oneof(
		{depthSize: 'small'},
		fc.constantFrom(...columns).chain(column => comparisonWith(column)),
		fc.record({kind: fc.constant('not' as const), condition: tie('condition')}),
		fc.record({kind: fc.constantFrom('and' as const, 'or' as const), conditions: fc.array(tie('condition'), {minLength: 2, maxLength: 3})}),
	),
})).condition;

const anyQuery: fc.Arbitrary<Query> = fc.constantFrom(...tableNames).chain(table => {
	const {columns} = tables[table];
	const field = fc.constantFrom(...columns.map(({name}) => name));
	return fc.record({
		kind: fc.constant('query' as const),
		table: fc.constant(table),
		where: anyCondition(columns),
		sort: fc.array(fc.record({field, descending: fc.boolean()}), {maxLength: 3}),
		limit: fc.nat({max: 999_999_999}),
		show: fc.array(field, {maxLength: 3}),
	}, {requiredKeys: ['kind', 'table', 'sort', 'show']});
});

const anyProperties = (object: keyof typeof properties, minLength: number) =>
	fc.array(fc.record({name: fc.constantFrom(...properties[object].keys()), value: anyValue}), {minLength, maxLength: 3});

const withProperties = ['team', 'service', 'target'] as const;

const anyCommand: fc.Arbitrary<Command> = fc.oneof(
	fc.constantFrom(...withProperties).chain(object => fc.record({
		kind: fc.constant('create' as const), object: fc.constant(object), name: anyText, properties: anyProperties(object, 0),
	})),
	fc.constantFrom(...withProperties, 'contract' as const).chain(object => fc.record({
		kind: fc.constant('change' as const), object: fc.constant(object), name: anyText, properties: anyProperties(object, 1),
	})),
	fc.record({kind: fc.constant('change_sharing' as const), properties: anyProperties('sharing', 1)}),
	fc.record({kind: fc.constant('remove' as const), object: fc.constantFrom(...objectKinds), name: anyText}),
	fc.record({kind: fc.constantFrom('take_out' as const, 'bring_back' as const, 'drain' as const, 'undrain' as const), name: anyText}),
	fc.record({
		kind: fc.constantFrom('add_token' as const, 'remove_token' as const), hash: anyText, object: fc.constantFrom('team' as const, 'operator' as const), name: anyText,
	}),
	fc.record({kind: fc.constant('revert' as const), version: fc.nat({max: 999_999_999})}),
);

test('a printed statement parses to the same statement', t => {
	t.notThrows(() => {
		fc.assert(fc.property(fc.oneof(anyQuery, anyCommand), (statement: Statement) => {
			const printed = printStatement(statement);
			fc.pre(printed.length <= 2000 && printed.split(/\(|not /v).length <= 50);
			return isDeepStrictEqual(parseStatement(printed).statement, structuredClone(statement));
		}), {seed: 32, numRuns: 2000});
	});
});
