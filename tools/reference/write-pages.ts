/** Writes the generated pages of `docs/reference/`. */
import {writeFile} from 'node:fs/promises';
import {languagePage} from './language-page.js';
import {refusalsPage} from './refusals-page.js';
import {settingsPage} from './settings-page.js';

/** The path is relative to the compiled script in `dist/tools/reference`. */
const directory = new URL('../../../docs/reference/', import.meta.url);

await writeFile(new URL('settings.md', directory), settingsPage());
await writeFile(new URL('language.md', directory), languagePage());
await writeFile(new URL('refusals.md', directory), refusalsPage());
