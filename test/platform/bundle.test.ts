import {spawn, spawnSync} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import test, {type ExecutionContext} from 'ava';
import * as z from 'zod';
import {deployedCommand, processorMs, startDeployedRouter} from './_deployed-router.js';

const RUNTIME = 'target/node';
/** The bundle without its snapshot. */
const PLAIN_COMMAND = [RUNTIME, 'target/router.mjs'];

test.before('the bundle is built', async t => {
	const bundler = spawn(process.execPath, ['deploy/bundle.js'], {stdio: 'inherit'});
	t.deepEqual(await once(bundler, 'exit'), [0, null]);
});

for (const [kind, command] of [['deployed command', deployedCommand()], ['bundle without its snapshot', PLAIN_COMMAND]] as const) {
	test.serial(`the ${kind} starts with a settings file, serves requests and ends at a stop signal`, async t => {
		const router = await startDeployedRouter(t, command);
		const {status, body} = await router.call('/look/1');
		t.is(status, 200);
		t.regex(body, /^done by l[12]$/v);
		const exited = once(router.process, 'exit');
		router.process.kill('SIGTERM');
		t.deepEqual(await exited, [0, null]);
	});
}

/** Runs a script in the shipped runtime and returns what it writes to standard output. */
const output = (args: readonly string[], env: Readonly<Record<string, string>> = {}) => {
	const {status, stdout, stderr} = spawnSync(RUNTIME, args, {encoding: 'utf8', env});
	return {status, stdout, stderr};
};

const tempFolder = async (t: ExecutionContext): Promise<string> => {
	const folder = await mkdtemp(path.join(tmpdir(), 'jackdawwood-'));
	t.teardown(async () => rm(folder, {recursive: true}));
	return folder;
};

/** Makes a snapshot of a script; returns the argument that starts from it. */
const snapshotOf = (folder: string, script: string): string => {
	const blob = `--snapshot-blob=${path.join(folder, 'test.blob')}`;
	const {status, stderr} = output(['--no-warnings', blob, '--build-snapshot', script]);
	if (status !== 0) {
		throw new Error(stderr);
	}

	return blob;
};

const valuesSchema = z.object({
	random: z.number(), id: z.string(), wall: z.number(), sinceStartMs: z.number(), variable: z.string(),
});

// Guards against routers that share random numbers, ids or a clock, because they were drawn when the snapshot was made.
test.serial('what differs between processes is not part of a snapshot', async t => {
	const folder = await tempFolder(t);
	const script = path.join(folder, 'script.cjs');
	await writeFile(script, `
const {randomUUID} = require('node:crypto');
const {performance} = require('node:perf_hooks');
const values = () => JSON.stringify({random: Math.random(), id: randomUUID(), wall: Date.now(), sinceStartMs: performance.now(), variable: process.env.NAME});
values();
require('node:v8').startupSnapshot.setDeserializeMainFunction(() => { console.log(values()); });
`);
	const blob = snapshotOf(folder, script);
	const startedMs = Date.now();
	const valuesOf = (name: string) => valuesSchema.parse(JSON.parse(output([blob], {NAME: name}).stdout));
	const first = valuesOf('a');
	const second = valuesOf('b');
	t.not(first.random, second.random);
	t.not(first.id, second.id);
	t.true(first.wall >= startedMs && second.wall >= first.wall);
	t.true(first.sinceStartMs < Date.now() - startedMs);
	t.deepEqual([first.variable, second.variable], ['a', 'b']);
});

// Guards against a build whose runtime can't make the snapshot and that leaves no router that starts.
test.serial('without a snapshot of the program, a start loads the bundle and logs it', async t => {
	const blob = snapshotOf(await tempFolder(t), 'deploy/load-bundle.cjs');
	const {status, stdout, stderr} = output([blob, 'target/router.mjs'], {JACKDAWWOOD_CONFIG: '/dev/null'});
	t.is(status, 3);
	t.regex(stdout, /loading the bundle/v);
	t.regex(stderr, /vm is missing/v);
});

// Guards against an import that makes Node.js load what the router never uses, which every start pays for.
test.serial('the program does not load modules that it never uses', t => {
	const {stdout} = output(['--print', 'require("./target/run-platform-router.cjs"); process.moduleLoadList.join(" ")']);
	const loaded = new Set(stdout.trim().split(/ (?=NativeModule|Internal)/v));
	t.true(loaded.has('NativeModule net'));
	const unused = ['internal/deps/undici/undici', 'http2', 'https', 'tls', 'sqlite', 'child_process', 'worker_threads', 'inspector', 'readline', 'repl', 'zlib', 'cluster'];
	t.deepEqual(unused.filter(name => loaded.has(`NativeModule ${name}`)), []);
});

/** Most processor time of a start until the router is ready, in starts of an empty program. A start that loads the bundle takes 14 times as much. */
const MAX_START_RATIO = 8;
const STARTS = 3;

// Guards against a start that costs a small VM seconds: at a tenth of a processor, 0.5 s of processor time take 5 s.
test.serial('a start takes at most a few times as much processor time as one of an empty program', async t => {
	const empty: number[] = [];
	const ready: number[] = [];
	for (let start = 0; start < STARTS; start++) {
		const idle = spawn(RUNTIME, ['--eval', 'console.log("started"); setTimeout(() => {}, 10_000)'], {stdio: ['ignore', 'pipe', 'inherit'], env: {}});
		await once(idle.stdout, 'data'); // eslint-disable-line no-await-in-loop
		empty.push(processorMs(idle.pid ?? 0));
		idle.kill('SIGKILL');
		const router = await startDeployedRouter(t); // eslint-disable-line no-await-in-loop
		ready.push(router.usedMs());
		router.process.kill('SIGKILL');
	}

	const ratio = Math.min(...ready) / Math.min(...empty);
	t.log(`ready ${Math.min(...ready).toFixed(0)} ms, empty ${Math.min(...empty).toFixed(0)} ms, ratio ${ratio.toFixed(1)}`);
	t.true(ratio <= MAX_START_RATIO, `ratio ${ratio}`);
});

/** Paths of the kinds of requests, and starts of which the median counts: a plain request is short, so the load of the machine changes its cost most. */
const KINDS = {
	plain: ['/look/', 3], 'not repeatable': ['/debit/', 3], stream: ['/chat/', 1], 'resumable stream': ['/brief/', 1],
} as const;
const FIRST = 20;
/** Requests of a kind after which its code counts as warm. */
const WARM_AFTER = 300;
/** Most processor time of one of the first requests, in that of a later one (issue 57). */
const MAX_COLD_RATIO = 3;

const coldRatio = async (t: ExecutionContext, prefix: string): Promise<number> => {
	const router = await startDeployedRouter(t);
	const send = async (count: number): Promise<number> => {
		const beforeMs = router.usedMs();
		for (let sent = 0; sent < count; sent++) {
			const {status} = await router.call(`${prefix}${sent}`); // eslint-disable-line no-await-in-loop
			t.is(status, 200);
		}

		return (router.usedMs() - beforeMs) / count;
	};

	const firstMs = await send(FIRST);
	await send(WARM_AFTER);
	const laterMs = await send(FIRST * 2);
	router.process.kill('SIGKILL');
	t.log(`first ${firstMs.toFixed(2)} ms, later ${laterMs.toFixed(2)} ms`);
	return firstMs / laterMs;
};

// Guards against a new process whose first callers are late since its code is cold, after a restart or when VMs are added.
for (const [kind, [prefix, starts]] of Object.entries(KINDS)) {
	test.serial(`the first ${FIRST} requests of a new process take at most ${MAX_COLD_RATIO} times the processor time of later ones: ${kind}`, async t => {
		const ratios: number[] = [];
		for (let start = 0; start < starts; start++) {
			ratios.push(await coldRatio(t, prefix)); // eslint-disable-line no-await-in-loop
		}

		const median = ratios.toSorted((a, b) => a - b)[Math.floor(starts / 2)] ?? Number.POSITIVE_INFINITY;
		t.true(median <= MAX_COLD_RATIO, `ratio ${median}`);
	});
}
