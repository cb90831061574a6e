/**
 * What the bundle takes in place of some modules, so that it starts with little processor time and can be part of a
 * start-up snapshot: V8 can't write `node:http` and channels of `node:diagnostics_channel` into one.
 */
import {spawnSync} from 'node:child_process';

/** Modules of Node.js that are loaded when the first of their exports is read. */
const LATE_MODULES = new Set(['cluster', 'http', 'http2', 'https', 'sqlite', 'tls']);
/** Modules that only the HTTP client has read when it was loaded, with what the router needs of them. */
const CLIENT_MODULES = new Map([
	// The default of Node.js for `maxHeaderSize`. The client compares bodies with `IncomingMessage`; the router sends it buffers only.
	['http', 'exports.maxHeaderSize = 16_384; exports.IncomingMessage = class IncomingMessage {};'],
	// As on a runtime without HTTP/2, which the client uses only if it is asked to.
	['http2', 'exports.constants = {};'],
	// Nothing subscribes to the client's events.
	['diagnostics_channel', 'exports.channel = () => ({hasSubscribers: false, publish() {}});'],
]);

/** Returns a module with a getter for each export of a module of Node.js in the shipped runtime, since an import of a single name reads its property. */
const lateModule = (name, runtime) => {
	const {stdout, status, error} = spawnSync(runtime, ['--print', `JSON.stringify(Object.keys(require('node:${name}')))`], {encoding: 'utf8', env: {}});
	if (status !== 0) {
		throw new Error(`${runtime} has no module ${name}`, {cause: error});
	}

	const getters = JSON.parse(stdout).map(key => `get ${key}() { return load().${key}; },`);
	return `let loaded;
const load = () => loaded ??= process.getBuiltinModule('node:${name}');
module.exports = {${getters.join('\n')}};`;
};

/* eslint-disable require-unicode-regexp -- esbuild runs the filters as expressions of Go, which have no such flag. */
/** Plugin of esbuild that puts the modules above in place. */
export const lateModules = runtime => ({
	name: 'late-modules',
	setup({onResolve, onLoad}) {
		onResolve({filter: /^(?:node:)?[a-z\d_]+$/}, ({path, importer}) => {
			const name = path.replace('node:', '');
			if (importer.includes('/undici/lib/') && CLIENT_MODULES.has(name)) {
				return {path: name, namespace: 'client-module'};
			}

			return LATE_MODULES.has(name) ? {path: name, namespace: 'late-module'} : undefined;
		});
		onLoad({filter: /.*/, namespace: 'client-module'}, ({path}) => ({contents: CLIENT_MODULES.get(path)}));
		onLoad({filter: /.*/, namespace: 'late-module'}, ({path}) => ({contents: lateModule(path, runtime)}));
	},
});
/* eslint-enable require-unicode-regexp */
