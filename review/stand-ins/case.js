/* eslint camelcase: off -- names of the platform's messages */
/** Frame of a case: its record, its fleet of six machines in three zones, its time limit, and the end of all that it started. */
import {
	appendFileSync, mkdtempSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {createMachine} from './machine.js';
import {startStore} from './store.js';
import {startWorker} from './worker.js';

const LIMIT_MS = 116_000;
const ZONES = ['cr-central-a', 'cr-central-b', 'cr-central-c'];
const MACHINES = 6;
/** Exit code of a broken rule; an error that ends the runtime gives 1, and `run.sh` tells the two apart. */
const BROKEN = 10;

export const HOST = 'placeta.example';
export const KEY = 'key-of-a-school';

const route = (name, fields) => ({
	name, host: HOST, path_prefix: `/${name}/`, priority: 1, max_attempts: 1, public: false, ...fields,
});

/** The operator's configuration: the kinds of request and the services of a small deployment. */
const config = {
	version: 7,
	routes: [
		route('review', {
			type: 'streaming', service: 'tutor', timeout_ms: 12_000, target_latency_ms: 1000, target_gap_ms: 500, session_affinity: true, stream_resume: true, max_attempts: 2,
		}),
		route('query', {
			type: 'streaming', service: 'tutor', timeout_ms: 10_000, target_latency_ms: 1000, target_gap_ms: 500, session_affinity: true, stream_resume: false,
		}),
		route('confirm', {
			type: 'non_idempotent', service: 'desk', timeout_ms: 3000, target_latency_ms: 300,
		}),
		route('roster', {
			type: 'idempotent', service: 'desk', timeout_ms: 3000, target_latency_ms: 300, max_attempts: 2,
		}),
	],
	services: [
		{
			name: 'tutor', health_path: '/healthz', max_connections: 360, protocol: 'h1', tls: false, cold_start_s: 3, cold_per_s: 10, engine: {slots: 64, kv_capacity: 460_737},
		},
		{
			name: 'desk', health_path: '/healthz', max_connections: 96, protocol: 'h1', tls: false, cold_start_s: 0, cold_per_s: 0,
		},
	],
	limits: {
		max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000, tokens_per_s: 133_000,
	},
	tenants: [{name: 'school', api_keys: [KEY], priority: 1}],
};

/** Whether the disruption takes place. */
export const isTroubled = process.env.TROUBLE !== '0';

/**
 * Runs a case and ends this process: with `BROKEN` if the rule was broken, with 0 if it held, with 2 if the case could not run.
 *
 * @param play - Receives the fleet; returns whether the rule was broken.
 */
export const runCase = async (folder, play) => {
	const file = path.join(folder, 'record.txt');
	const startMs = performance.now();
	writeFileSync(file, '');
	const record = (what, fields = {}) => {
		appendFileSync(file, `${((performance.now() - startMs) / 1000).toFixed(3)} ${what} ${JSON.stringify(fields)}\n`);
	};

	const temporary = mkdtempSync(path.join(tmpdir(), 'review-'));
	const started = [];
	const end = code => {
		for (const {close} of started) {
			close();
		}

		rmSync(temporary, {recursive: true, force: true});
		process.exit(code);
	};

	setTimeout(() => {
		record('time limit');
		end(2);
	}, LIMIT_MS);
	for (const signal of ['SIGTERM', 'SIGINT']) {
		process.once(signal, () => {
			end(2);
		});
	}

	try {
		record('case', {trouble: isTroubled});
		const store = await startStore();
		started.push(store);
		const putConfig = () => {
			store.put('op', 'config', config);
		};

		putConfig();
		const machines = await Promise.all(Array.from({length: MACHINES}, async (_, index) => createMachine({
			name: `edge-${index + 1}`, zone: ZONES[index % ZONES.length], index, store: store.address, folder: temporary, record,
		})));
		started.push(...machines);
		const isBroken = await play({
			store,
			putConfig,
			machines,
			record,
			async startWorker(options) {
				const worker = await startWorker({...options, store, record});
				started.push(worker);
				return worker;
			},
		});
		record('verdict', {broken: isBroken});
		end(isBroken ? BROKEN : 0);
	} catch (error) {
		record('case could not run', {fault: String(error?.stack ?? error)});
		end(2);
	}
};
