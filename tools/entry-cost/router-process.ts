/**
 * Runs the entry of a router in a process of its own, with a scheduler that grants every request
 * at once. Replies to each message of the parent process with the processor time used since
 * the start of the process and its resident memory.
 */
import process from 'node:process';
import {type Scheduler} from '../../src/core/dispatch/types.js';
import {fleetConfigSchema} from '../../src/core/config/fleet-config.js';
import {noClaims} from '../../src/runtime/claims/no-claims.js';
import {startEntry} from '../../src/runtime/entry/start-entry.js';
import {monotonicClock} from '../../src/runtime/monotonic-clock.js';
import {createLog} from '../../src/runtime/observe/log.js';
import {createMetrics} from '../../src/runtime/observe/metrics.js';

const [engine = '', ledger = '', tokenHash = ''] = process.argv.slice(2);
const GRANT_LIFETIME_MS = 10_000;

const config = fleetConfigSchema.parse({
	version: 1,
	teams: {bench: {tokenHashes: [tokenHash], maxQueued: 100_000}},
	services: {engine: {kind: 'model'}, ledger: {kind: 'plain', repeat: 'never'}},
});

let grants = 0;
const scheduler: Scheduler = {
	submit({service}) {
		grants++;
		const address = service === 'engine' ? engine : ledger;
		return {
			granted: Promise.resolve({
				grantId: String(grants), target: service, address, epoch: 1n, instance: '', expiresAtMs: monotonicClock.nowMs() + GRANT_LIFETIME_MS,
			}),
			withdraw: () => undefined,
		};
	},
	isValid: ({expiresAtMs}) => monotonicClock.nowMs() < expiresAtMs,
	end: () => undefined,
};

const entry = await startEntry({
	listen: {host: '127.0.0.1', port: 0},
	config: () => config,
	scheduler,
	clock: monotonicClock,
	random: () => 0.5,
	metrics: createMetrics(),
	log: createLog('info', () => undefined),
	claims: noClaims,
	limits: {
		bodyBytes: 1_000_000, headerBytes: 16_384, readTimeoutMs: 10_000, connectionsPerTeam: 100_000,
	},
});
process.send?.({address: entry.address});
process.on('message', () => {
	const {user, system} = process.cpuUsage();
	process.send?.({cpuUs: user + system, rssBytes: process.memoryUsage.rss()});
});
process.once('disconnect', () => {
	process.exit(0);
});
