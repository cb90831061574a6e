import {readdir, readFile} from 'node:fs/promises';
import test from 'ava';
import {parseStatement} from '../../src/core/language/parse-statement.js';
import {parseSettings} from '../../src/core/settings/parse-settings.js';

const directory = new URL('../../../docs/operators/', import.meta.url);

const OPTIONS = String.raw`(?: --(?:json|dry-run)| --(?:token-file|operation-id) \S+)*`;
/** A call of `jackdawwood query` or `jackdawwood do` with its statement, in quotes or bare. */
const CALL = new RegExp(String.raw`^ *(?:JACKDAWWOOD_TOKEN=\S+ )?jackdawwood (?:query|do)${OPTIONS} (?<statement>'[^']+'|[a-z][^<\|']*)`, 'v');
/** A statement in an indented block. */
const BARE = /^ {4}(?<statement>(?:create|add token) .*)$/v;
/** A query in a code span. */
const SPAN = /`(?<statement>(?:teams|targets|vms) (?:where|show) [^`]+)`/gv;

const statementsIn = (line: string): readonly string[] => {
	const matches = [CALL.exec(line), BARE.exec(line), ...line.matchAll(SPAN)];
	return matches.map(match => match?.groups?.statement?.replaceAll('\'', '').trim()).filter(statement => statement !== undefined);
};

const readPage = async (name: string): Promise<string> => readFile(new URL(name, directory), 'utf8');

test('the example settings file on the installation page is valid', async t => {
	const page = await readPage('install-and-settings.md');
	const block = /## Settings of a VM\n(?<toml>(?:\n| {4}.*\n)+)/v.exec(page)?.groups?.toml ?? '';
	const {settings, faults = []} = parseSettings(block, 'page');
	t.deepEqual(faults, []);
	t.is(settings?.peers.seeds.length, 1);
});

test('every statement on the operators\' pages can be parsed', async t => {
	const names = await readdir(directory);
	const pages = await Promise.all(names.map(async name => readPage(name)));
	const statements = pages.flatMap(page => page.split('\n')).flatMap(line => statementsIn(line));
	const faults = statements.filter(text => parseStatement(text).fault !== undefined);
	t.deepEqual(faults, []);
	t.true(statements.length > 40, `only ${statements.length} statements were found`);
});
