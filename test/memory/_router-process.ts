/** Runs a router in its own process, as deployed, and reads its resident size from `/proc`. */
import {execFileSync, spawn} from 'node:child_process';
import {once} from 'node:events';
import {existsSync, readFileSync} from 'node:fs';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {type ExecutionContext} from 'ava';
import {request} from 'undici';
import {startWorksStore, type WorksStore} from '../../standins/works/works-store.js';
import {freeAddresses} from '../../tools/fleet/free-ports.js';
import {configOf, settingsText, until} from '../platform/_platform.js';

/** The deployed runtime. If it is not installed, the test's own runtime is used. */
const DEPLOYED_RUNTIME = `node_modules/node-linux-${process.arch}/bin/node`;
/** The same flags as in `deploy/system.toml`. */
const RUNTIME_FLAGS = ['--max-old-space-size=160', '--max-semi-space-size=4', '--liftoff-only'];
const KB_PER_MB = 1024;

export type RouterProcess = {
	readonly store: WorksStore;
	/** `host:port` for callers' requests. */
	readonly callers: string;
	/** `host:port` of the readiness check. */
	readonly ready: string;
	/** `host:port` of the metrics. */
	readonly metrics: string;
	readonly pid: number;
	/** Current resident size, and the largest one so far, in MB. */
	readonly residentMb: () => number;
	readonly peakMb: () => number;
	/** Whether the process has ended. */
	readonly hasEnded: () => boolean;
	/** Returns the standard output so far. */
	readonly log: () => string;
	readonly signal: (name: NodeJS.Signals) => void;
};

export type RouterProcessOptions = {
	/** `host:port` of targets by id; ids that begin with `m` are model engines. */
	readonly targets: Readonly<Record<string, string>>;
	/** Additional lines of the `limits` table in the settings. */
	readonly limits?: string;
	/** Changes to the default configuration of the test platform. */
	readonly changes?: Readonly<Record<string, unknown>>;
	/** Lateness of timers, in milliseconds, above which the router refuses requests. */
	readonly behindMs?: number;
	/** Called while the process waits for its settings, once it listens for SIGHUP; the runtime itself, which loads before, has no listener. */
	readonly whileStarting?: (signal: (name: NodeJS.Signals) => void) => Promise<void>;
	/** Whether the process may end before it is ready. */
	readonly mayEnd?: boolean;
};

const statusMb = (pid: number, field: string): number => {
	const text = readFileSync(`/proc/${pid}/status`, 'utf8');
	return Number(new RegExp(String.raw`^${field}:\s+(\d+) kB`, 'mv').exec(text)?.[1]) / KB_PER_MB;
};

/** Whether a process has a handler for SIGHUP, the first signal in the mask of those that it catches. */
export const catchesHangup = (pid: number): boolean => {
	const mask = /^SigCgt:\s+(?<mask>[\da-f]+)/mv.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.groups?.mask;
	return Number.parseInt(mask?.at(-1) ?? '0', 16) % 2 === 1;
};

/** Starts a store and a router; resolves when the router is ready. */
export const startRouterProcess = async (t: ExecutionContext, {targets, limits = '', changes, behindMs, whileStarting, mayEnd = false}: RouterProcessOptions): Promise<RouterProcess> => {
	const store = await startWorksStore();
	store.put('op', 'config', configOf(7, changes));
	for (const [id, address] of Object.entries(targets)) {
		store.put('servers', id, {
			service: id.startsWith('m') ? 'tariff' : 'ledger', address, zone: 'dc-a', version: 'v1', slots: 400, state: 'ready', cold_remaining_ms: 0, sequence: 1, born: 1000,
		});
	}

	const addresses = await freeAddresses(4);
	const [callers = '', ready = '', , metrics = ''] = addresses;
	const folder = await mkdtemp(path.join(tmpdir(), 'jackdawwood-'));
	const file = path.join(folder, 'settings.toml');
	const text = settingsText(addresses, store.address, behindMs).replace('[limits]', `[limits]\n${limits}`).replace('"silent"', '"info"');
	if (whileStarting) {
		// A pipe holds the process at the reading of its settings.
		execFileSync('mkfifo', [file]);
	} else {
		await writeFile(file, text);
	}

	const runtime = existsSync(DEPLOYED_RUNTIME) ? DEPLOYED_RUNTIME : process.execPath;
	const router = spawn(runtime, [...RUNTIME_FLAGS, 'dist/platform/main.js'], {
		stdio: ['ignore', 'pipe', 'inherit'], env: {JACKDAWWOOD_CONFIG: file},
	});
	let log = '';
	router.stdout.on('data', (chunk: Uint8Array) => {
		log += new TextDecoder().decode(chunk);
	});
	const pid = router.pid ?? 0;
	const exited = once(router, 'exit');
	t.teardown(async () => {
		router.kill('SIGKILL');
		await exited;
		await Promise.all([store.close(), rm(folder, {recursive: true})]);
	});
	if (whileStarting) {
		await until(t, () => catchesHangup(pid), 'the listeners stand');
		await whileStarting(name => {
			router.kill(name);
		});
		await writeFile(file, text);
		await rm(file);
		await writeFile(file, text);
	}

	await until(t, async () => {
		if (mayEnd && (router.exitCode !== null || router.signalCode !== null)) {
			return true;
		}

		const status = await request(`http://${ready}/v1/readyz`).then(async ({statusCode, body}) => {
			await body.dump();
			return statusCode;
		}, () => 0);
		return status === 200;
	}, 'ready');
	return {
		store,
		callers,
		ready,
		metrics,
		pid,
		residentMb: () => statusMb(pid, 'VmRSS'),
		peakMb: () => statusMb(pid, 'VmHWM'),
		hasEnded: () => router.exitCode !== null || router.signalCode !== null,
		log: () => log,
		signal(name) {
			router.kill(name);
		},
	};
};
