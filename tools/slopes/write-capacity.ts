#!/usr/bin/env node
/** Regenerates the tables of `docs/CAPACITY.md` from `docs/capacity/slopes.json`. */
import {readFile, writeFile} from 'node:fs/promises';
import {changedTable, slopesTable, todayTable} from './capacity-tables.js';
import {type SlopesResult} from './types.js';

const PAGE = 'docs/CAPACITY.md';
const RESULTS = 'docs/capacity/slopes.json';

const replaceTable = (page: string, name: string, table: string): string => {
	const [before = '', rest = ''] = page.split(`<!-- ${name} -->\n`);
	const [, after = ''] = rest.split(`<!-- end of ${name} -->`);
	return `${before}<!-- ${name} -->\n${table}\n<!-- end of ${name} -->${after}`;
};

const result = JSON.parse(await readFile(RESULTS, 'utf8')) as SlopesResult; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
let page = await readFile(PAGE, 'utf8');
page = replaceTable(page, 'today', todayTable(result));
page = replaceTable(page, 'changed', changedTable(result));
page = replaceTable(page, 'slopes', slopesTable(result));
await writeFile(PAGE, page);
