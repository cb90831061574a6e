/**
 * Bundles the router for the platform: an entry point, which receives signals at once, and the rest. A process
 * there may hold few files open, which Node's module loader exceeds on `node_modules`, and start-up time counts.
 * It then makes the start-up snapshot of both, which holds the loaded program (docs/design/start-up.md).
 */
import {copyFile, mkdir, rename} from 'node:fs/promises';
import {build} from 'esbuild';
import {lateModules} from './late-modules.js';
import {makeSnapshot} from './snapshot.js';
import {runtimeFile} from './runtime.js';

await mkdir('target', {recursive: true});
// A file that a process runs can't be written to, but it can be replaced.
await copyFile(runtimeFile(), 'target/node.new');
await rename('target/node.new', 'target/node');

const options = {
	bundle: true,
	// Identifiers stay: with `keepNames` instead, each function that is created at run time would be given its name by a call.
	minifySyntax: true,
	minifyWhitespace: true,
	platform: 'node',
	target: 'node22',
	// CommonJS: an import of a module of Node.js reads all of its exports, and those of `node:http` load a second HTTP client.
	format: 'cjs',
	alias: {
		// The whole client would double the time to load: it brings fetch, caches, web sockets and mocks.
		undici: './deploy/undici-parts.js',
		'prom-client': './deploy/prom-client-parts.js',
		// The default entry brings reporters for terminals.
		consola: 'consola/core',
	},
	plugins: [lateModules('target/node')],
};

/** The entry point loads the program as CommonJS with `require`, since `import` would parse it for its exports. */
const programFile = {
	name: 'program-file',
	setup({onResolve}) {
		// eslint-disable-next-line require-unicode-regexp -- esbuild runs it as an expression of Go
		onResolve({filter: /\/run-platform-router\.js$/}, () => ({path: './run-platform-router.cjs', external: true}));
	},
};

await build({
	...options,
	format: 'esm',
	supported: {'dynamic-import': false},
	plugins: [programFile],
	entryPoints: ['platform/main.ts'],
	outfile: 'target/router.mjs',
	banner: {js: 'import {createRequire as createRequireOfBundle} from "node:module"; const require = createRequireOfBundle(import.meta.url);'},
});
await build({...options, entryPoints: ['platform/run-platform-router.ts'], outfile: 'target/run-platform-router.cjs'});
await build({...options, entryPoints: ['platform/snapshot.ts'], outfile: 'target/snapshot.cjs'});
makeSnapshot();
