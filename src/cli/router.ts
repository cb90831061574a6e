#!/usr/bin/env node
/** `jackdawwood-router`: the daemon that runs `startRouter`. */
import process from 'node:process';
import meow from 'meow';
import {startRouter} from '../runtime/router/start-router.js';
import {EXIT_USAGE} from './exit-codes.js';
import {routerHelp} from './router/help.js';
import {runRouter} from './router/run.js';

const cli = meow(routerHelp, {
	importMeta: import.meta,
	description: false,
	allowUnknownFlags: false,
	flags: {settings: {type: 'string'}},
});

if (cli.flags.settings === undefined || cli.input.length > 0) {
	process.stderr.write(routerHelp);
	process.exit(EXIT_USAGE);
}

process.exit(await runRouter(cli.flags.settings, {
	startRouter,
	onSignal(listener) {
		process.on('SIGTERM', listener);
		process.on('SIGINT', listener);
	},
	writeError(text) {
		process.stderr.write(text);
	},
}));
