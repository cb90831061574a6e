import {readFile} from 'node:fs/promises';
import test from 'ava';
import {changedTable, slopesTable, todayTable} from '../../tools/slopes/capacity-tables.js';
import {fitLine} from '../../tools/slopes/fit.js';
import {type SlopesResult} from '../../tools/slopes/types.js';

const readResult = async (): Promise<SlopesResult> =>
	JSON.parse(await readFile('docs/capacity/slopes.json', 'utf8')) as SlopesResult; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion

test('the tables of the capacity page match the committed results', async t => {
	const result = await readResult();
	const page = await readFile('docs/CAPACITY.md', 'utf8');
	for (const table of [todayTable(result), changedTable(result), slopesTable(result)]) {
		t.true(page.includes(table));
	}

	t.true(page.includes(`\`${result.command}\``));
	t.true(page.includes(`seed ${result.seed}`));
});

test('the committed fits match the committed points, and each series has at least four sizes that span a factor of ten', async t => {
	const {series} = await readResult();
	for (const {name, points, fit} of series) {
		const expected = fitLine(points);
		t.true(Math.abs(expected.slope - fit.slope) <= 1e-9 * Math.abs(expected.slope), `${name}`);
		t.true(Math.abs(expected.residual - fit.residual) <= 1e-9, `${name}`);
		const sizes = points.map(({size}) => size).filter(size => size > 0);
		t.true(sizes.length >= 4, `${name}`);
		t.true(Math.max(...sizes) >= 10 * Math.min(...sizes), `${name}`);
	}
});
