import test from 'ava';
import {evaluateQuery, type Row} from '../../src/core/language/evaluate-query.js';
import {mergeRows} from '../../src/core/language/merge-rows.js';
import {parseStatement} from '../../src/core/language/parse-statement.js';

const teams: readonly Row[] = [
	{
		name: 'couriers', weight: 2, backlogged: true, queued: 9, behind: 0,
	},
	{
		name: 'agents', weight: 1, backlogged: true, queued: 4, behind: 7.5,
	},
	{
		name: 'exporters', weight: 3, backlogged: false, queued: 0,
	},
	{
		name: 'desks', weight: 3, backlogged: false, queued: 0, behind: 1,
	},
];

const namesOf = (text: string): ReadonlyArray<string | number | boolean | undefined> => {
	const {statement} = parseStatement(text);
	return statement?.kind === 'query' ? evaluateQuery(statement, teams).rows.map(row => row.name) : ['no query'];
};

test('queries filter, sort and limit', t => {
	t.deepEqual(namesOf('teams where backlogged sort by behind desc'), ['agents', 'couriers']);
	t.deepEqual(namesOf('teams where not backlogged or queued >= 9'), ['couriers', 'exporters', 'desks']);
	t.deepEqual(namesOf('teams where name contains "or" and weight != 2'), ['exporters']);
	t.deepEqual(namesOf('teams where name >= desks sort by weight desc, name limit 2'), ['desks', 'exporters']);
	t.deepEqual(namesOf('teams where behind = none'), ['exporters']);
	t.deepEqual(namesOf('teams where behind < 1 or behind >= 7.5'), ['couriers', 'agents']);
});

test('rows without the sort field come last in both directions', t => {
	t.is(namesOf('teams sort by behind').at(-1), 'exporters');
	t.is(namesOf('teams sort by behind desc').at(-1), 'exporters');
});

test('a projection returns the fields in the order of the show clause', t => {
	const {statement} = parseStatement('teams limit 1 show queued, name');
	t.deepEqual(statement?.kind === 'query' && evaluateQuery(statement, teams), {columns: ['queued', 'name'], rows: [{queued: 9, name: 'couriers'}]});
});

test('a state other than the normal one takes precedence in the merged row, even if only one VM reports it', t => {
	const [target] = mergeRows('targets', [{name: 'tariff-1', state: 'in'}, {name: 'tariff-1', state: 'leaving'}, {name: 'tariff-1'}]);
	t.is(target?.state, 'leaving');
	const [normal] = mergeRows('targets', [{name: 'tariff-1'}, {name: 'tariff-1', state: 'in'}]);
	t.is(normal?.state, 'in');
});

test('merged rows are sorted by their keys, and numeric keys by value', t => {
	t.deepEqual(mergeRows('config_history', [{version: 10}, {version: 9}, {version: 100}]).map(row => row.version), [9, 10, 100]);
});

test('rows of several VMs become one for each thing', t => {
	t.snapshot(mergeRows('teams', [
		{
			name: 'couriers', weight: 2, backlogged: false, queued: 1, oldest_ms: 20, behind: 3,
		},
		{
			name: 'agents', weight: 1, backlogged: false, queued: 0,
		},
		{
			name: 'couriers', weight: 2, backlogged: true, queued: 4, oldest_ms: 90,
		},
	]));
});
