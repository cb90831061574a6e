/**
 * Bundles the router for the platform into two files: an entry point, which receives signals at once, and
 * the rest. A process there may hold few files open, which Node's module loader exceeds on `node_modules`,
 * and start-up time counts.
 */
import {copyFile, mkdir} from 'node:fs/promises';
import {build} from 'esbuild';
import {runtimeFile} from './runtime.js';

await mkdir('target', {recursive: true});
await copyFile(runtimeFile(), 'target/node');

const options = {
	bundle: true,
	minify: true,
	keepNames: true,
	platform: 'node',
	target: 'node22',
	format: 'esm',
};

await build({
	...options, entryPoints: ['platform/main.ts'], outfile: 'target/router.mjs', external: ['./run-platform-router.js'],
});
await build({
	...options,
	entryPoints: ['platform/run-platform-router.ts'],
	outfile: 'target/run-platform-router.js',
	// The whole client would double the time to load: it brings fetch, caches, web sockets and mocks.
	alias: {undici: './deploy/undici-parts.js'},
	// Some packages are CommonJS and load Node's modules with require.
	banner: {js: 'import {createRequire as createRequireOfBundle} from "node:module"; const require = createRequireOfBundle(import.meta.url);'},
});
