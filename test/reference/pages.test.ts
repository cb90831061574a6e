import {readFile} from 'node:fs/promises';
import test from 'ava';
import {languagePage} from '../../tools/reference/language-page.js';
import {refusalsPage} from '../../tools/reference/refusals-page.js';
import {settingsPage} from '../../tools/reference/settings-page.js';

const committed = async (name: string): Promise<string> => readFile(new URL(`../../../docs/reference/${name}`, import.meta.url), 'utf8');

test('the committed reference pages match the generated ones', async t => {
	t.is(await committed('settings.md'), settingsPage());
	t.is(await committed('language.md'), languagePage());
	t.is(await committed('refusals.md'), refusalsPage());
});
