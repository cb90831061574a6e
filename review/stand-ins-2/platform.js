/* eslint-disable camelcase -- the users' protocol and settings write names this way */
/** Parts that the cases have in common: the config, the record and the end of a run. */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';

export const HOST_NAME = 'rates.example';
export const KEY = 'asnmgkcuyj8pjbvk9m68';

const route = (name, fields) => ({
	name: `r-${name}`, host: HOST_NAME, path_prefix: `/${name}/`, timeout_ms: 3000, target_latency_ms: 1500, priority: 1, max_attempts: 2, public: false, ...fields,
});

/** A config like that of a small site: one service of model workers, one plain one. */
export const configOf = (version, changes = {}) => ({
	version,
	routes: [
		route('tag', {
			type: 'streaming', service: 'tariff', stream_resume: true, session_affinity: true, target_gap_ms: 500,
		}),
		route('chat', {
			type: 'streaming', service: 'tariff', stream_resume: false, session_affinity: true, target_gap_ms: 500, max_attempts: 1, timeout_ms: 10_000, target_latency_ms: 1000,
		}),
		route('debit', {
			type: 'non_idempotent', service: 'ledger', max_attempts: 1, timeout_ms: 1500, target_latency_ms: 300,
		}),
		route('lookup', {
			type: 'idempotent', service: 'ledger', timeout_ms: 1500, target_latency_ms: 300,
		}),
	],
	services: [
		{
			name: 'tariff', health_path: '/healthz', max_connections: 360, protocol: 'h1', tls: false, cold_start_s: 3, cold_per_s: 10,
			engine: {
				slots: 64, kv_capacity: 460_737, kv_bytes: 18_432, link_mbps: 280_000,
			},
		},
		{
			name: 'ledger', health_path: '/healthz', max_connections: 100, protocol: 'h1', tls: false, cold_start_s: 0, cold_per_s: 0,
		},
	],
	limits: {
		max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000, tokens_per_s: 133_000,
	},
	tenants: [{name: 'hule930', api_keys: [KEY], priority: 1}],
	...changes,
});

/** Largest number of entries, sorted by time, in any window of this length. */
export const mostInWindow = (times, windowMs) => {
	const sorted = times.toSorted((a, b) => a - b);
	let most = 0;
	let first = 0;
	for (const [index, atMs] of sorted.entries()) {
		while (atMs - sorted[first] >= windowMs) {
			first++;
		}

		most = Math.max(most, index - first + 1);
	}

	return most;
};

export const createRecord = () => {
	const lines = [];
	const startMs = performance.now();
	return {
		note(text, atMs = performance.now()) {
			lines.push(`${((atMs - startMs) / 1000).toFixed(3).padStart(8)} s  ${text}`);
		},
		write(file) {
			writeFileSync(file, `${lines.toSorted((a, b) => Number.parseFloat(a) - Number.parseFloat(b)).join('\n')}\n`);
		},
	};
};

/** Runs a case in a temporary folder, ends all that it started, and exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run. */
export const runCase = async (recordFile, play) => {
	const record = createRecord();
	const folder = mkdtempSync(path.join(tmpdir(), 'review-'));
	const closers = [];
	let code = 2;
	try {
		const isBroken = await play({
			record, folder, isTrouble: process.env.TROUBLE !== '0', atEnd(close) {
				closers.push(close);
			},
		});
		code = isBroken ? 1 : 0;
	} catch (error) {
		record.note(`the case could not run: ${error.stack}`);
		process.stderr.write(`${error.stack}\n`);
	}

	for (const close of closers.toReversed()) {
		await close(); // eslint-disable-line no-await-in-loop
	}

	record.write(recordFile);
	if (process.env.KEEP === undefined) {
		rmSync(folder, {recursive: true});
	} else {
		process.stdout.write(`${folder}\n`);
	}

	process.exit(code);
};
