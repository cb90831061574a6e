/**
 * Tests of one router process under a flood of new connections. To give it a third of a
 * processor, the process is paused and resumed in cycles of 100 ms.
 */
import {fork, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {connect} from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import test, {type ExecutionContext} from 'ava';
import {request} from 'undici';
import {startWorksStore} from '../../standins/works/works-store.js';
import {startWorksTarget} from '../../standins/works/works-target.js';
import {freeAddresses} from '../../tools/fleet/free-ports.js';
import {
	configOf, HOST, settingsText, until,
} from './_platform.js';
import {type FloodPlan, type FloodReport} from './_flood-types.js';

const PROCESSOR_SHARE = 0.33;
const CYCLE_MS = 100;
/** Milliseconds within which every caller must receive a response. */
const MAX_RESPONSE_MS = 500;
const FLOOD_KEY = 'key-of-flood';
const OTHER_KEYS = Array.from({length: 9}, (_, index) => `key-${index}`);
/** Milliseconds for which only the nine other teams send requests, before the flood begins. */
const FLOOD_FROM_MS = 2000;
const FLOOD_TO_MS = 7000;

const processFile = (name: string): string => fileURLToPath(new URL(name, import.meta.url));

/** Lets a process run for only `PROCESSOR_SHARE` of each cycle. Returns a function that ends this. */
const throttle = (child: ChildProcess) => {
	const cycles = setInterval(() => {
		child.kill('SIGCONT');
		setTimeout(() => {
			child.kill('SIGSTOP');
		}, CYCLE_MS * PROCESSOR_SHARE);
	}, CYCLE_MS);
	return async (): Promise<void> => {
		clearInterval(cycles);
		await delay(CYCLE_MS);
		child.kill('SIGCONT');
	};
};

const startRouter = async (t: ExecutionContext, {isThrottled = true}: {readonly isThrottled?: boolean} = {}) => {
	const store = await startWorksStore();
	const target = await startWorksTarget({id: 'l1', stream: false});
	store.put('op', 'config', configOf(7, {tenants: [FLOOD_KEY, ...OTHER_KEYS].map(key => ({name: key.replace('key-', ''), api_keys: [key], priority: 1}))}));
	store.put('servers', 'l1', {
		service: 'ledger', address: target.address, zone: 'dc-a', version: 'v1', slots: 64, state: 'ready', cold_remaining_ms: 0, sequence: 1, born: 1000,
	});
	const addresses = await freeAddresses(4);
	const [callers = '', ready = ''] = addresses;
	const folder = await mkdtemp(path.join(os.tmpdir(), 'flood-'));
	const settingsFile = path.join(folder, 'router.toml');
	const text = settingsText(addresses, store.address, 20).replace('[limits]', `[limits]\nprocessor_share = ${PROCESSOR_SHARE}`).replace('"silent"', '"info"');
	await writeFile(settingsFile, text);
	const child = fork(processFile('_flood-router.js'), [settingsFile], {execArgv: [], stdio: ['ignore', 'pipe', 'inherit', 'ipc']});
	let log = '';
	child.stdout?.on('data', (chunk: Uint8Array) => {
		log += new TextDecoder().decode(chunk);
	});
	const isReady = async (): Promise<boolean> => {
		try {
			const res = await request(`http://${ready}/v1/readyz`);
			await res.body.dump();
			return res.statusCode === 200;
		} catch {
			return false;
		}
	};

	await until(t, isReady, 'ready');
	const release = isThrottled ? throttle(child) : async () => undefined;
	t.teardown(async () => {
		await release();
		if (child.exitCode === null) {
			child.kill('SIGTERM');
			await once(child, 'exit');
		}

		await target.close();
		await store.close();
		await rm(folder, {recursive: true});
	});
	return {
		child, isReady, port: Number(callers.split(':')[1]), log: () => log, target,
	};
};

const flood = async (plan: FloodPlan): Promise<FloodReport> => {
	const callers = fork(processFile('_flood-callers.js'), [], {execArgv: []});
	callers.send(plan);
	const [report] = await once(callers, 'message') as [FloodReport]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- from `_flood-callers.ts`
	return report;
};

const otherTeams = (perS: number, toMs: number): FloodPlan['teams'] => OTHER_KEYS.map(key => ({
	key, perS, fromMs: 0, toMs,
}));

const summarise = (t: ExecutionContext, report: FloodReport) => {
	const answered = report.filter(({status}) => status >= 0);
	const times = answered.map(({tookMs}) => tookMs).toSorted((a, b) => a - b);
	const late = answered.filter(({status, tookMs}) => status === 0 || tookMs > MAX_RESPONSE_MS);
	const ofFlood = answered.filter(({key, atMs}) => key === FLOOD_KEY && atMs >= FLOOD_FROM_MS);
	const others = answered.filter(({key, atMs}) => key !== FLOOD_KEY && atMs >= FLOOD_FROM_MS && atMs < FLOOD_TO_MS);
	const served = (calls: FloodReport) => calls.filter(({status}) => status === 200).length;
	const at = (quantile: number): string => (times[Math.min(times.length - 1, Math.floor(times.length * quantile))] ?? 0).toFixed(0);
	t.log([
		`${answered.length} callers: ${late.length} without a response within ${MAX_RESPONSE_MS} ms`,
		`${answered.filter(({status}) => status === 0).length} of them without any response`,
		`median ${at(0.5)} ms, 99% ${at(0.99)} ms, slowest ${at(1)} ms`,
		`served ${served(ofFlood)} of ${ofFlood.length} requests of the flooding team, ${served(others)} of ${others.length} of the other teams during the flood`,
	].join('; '));
	return {
		answered, late, others, ofFlood, served,
	};
};

const floodOf700: FloodPlan['teams'] = [...otherTeams(2, FLOOD_TO_MS + 1000), {
	key: FLOOD_KEY, perS: 700, fromMs: FLOOD_FROM_MS, toMs: FLOOD_TO_MS,
}];

test.serial('every caller of a VM with a third of a processor is answered within half a second in a flood of 700 connections a second', async t => {
	const router = await startRouter(t);
	const report = await flood({
		port: router.port, host: HOST, durationMs: FLOOD_TO_MS + 1000, teams: floodOf700,
	});
	const {late, answered} = summarise(t, report);
	t.is(late.length, 0, `${late.length} of ${answered.length}`);
});

test.serial('a team that floods a VM with a third of a processor has a smaller share of its requests served than the other teams', async t => {
	const router = await startRouter(t);
	const report = await flood({
		port: router.port, host: HOST, durationMs: FLOOD_TO_MS + 1000, teams: floodOf700,
	});
	const {others, ofFlood, served} = summarise(t, report);
	t.deepEqual([...new Set(report.map(({status}) => status))].filter(status => ![0, 200, 503].includes(status)), []);
	t.true(served(others) / others.length > served(ofFlood) / ofFlood.length, 'the flooding team yields to the others');
	const delays = new Set(ofFlood.filter(({status}) => status === 503).map(({retryAfter}) => retryAfter));
	t.true(delays.size > 10, 'callers refused at the same time retry at different times');
	const lines = router.log().split('\n').filter(line => line.includes('requests refused') && line.includes('of-flood'));
	t.true(lines.length > 0 && lines.length <= ((FLOOD_TO_MS - FLOOD_FROM_MS) / 1000) + 2, `${lines.length} log lines about the flooding team`);
	await until(t, router.isReady, 'ready after the flood');
});

test.serial('idle connections, incomplete request heads and callers that reset their connections do not keep other callers from being served', async t => {
	const router = await startRouter(t);
	const texts = ['', 'GET /look/a HTTP/1.1\r\nHost: ', 'POST /look/a HTTP/1.1\r\nHost: h\r\nContent-Length: 64\r\n\r\nx'];
	const silent = Array.from({length: 60}, (_, index) => {
		const socket = connect(router.port, '127.0.0.1');
		socket.on('error', () => undefined);
		socket.write(texts[index % texts.length] ?? '');
		return socket;
	});
	const report = await flood({
		port: router.port, host: HOST, durationMs: 3000, teams: [...otherTeams(1, 3000), {
			key: FLOOD_KEY, perS: 20, fromMs: 500, toMs: 2500, resetShare: 1,
		}],
	});
	for (const socket of silent) {
		socket.destroy();
	}

	const {answered} = summarise(t, report);
	t.deepEqual(answered.filter(({status}) => status !== 200), []);
});

test.serial('a VM whose process is paused for a second during a flood responds to callers after it resumes', async t => {
	const router = await startRouter(t, {isThrottled: false});
	const flooded = flood({
		port: router.port, host: HOST, durationMs: 5000, teams: [...otherTeams(2, 5000), {
			key: FLOOD_KEY, perS: 200, fromMs: 0, toMs: 4000,
		}],
	});
	await delay(1500);
	router.child.kill('SIGSTOP');
	await delay(1000);
	router.child.kill('SIGCONT');
	const report = await flooded;
	const {answered} = summarise(t, report);
	const later = answered.filter(({key, atMs}) => key !== FLOOD_KEY && atMs > 3000);
	t.deepEqual(later.filter(({status}) => status === 0), []);
	await until(t, router.isReady, 'ready');
});

test.serial('a VM that receives a stop signal during a flood ends within the grace period', async t => {
	const router = await startRouter(t, {isThrottled: false});
	const flooded = flood({
		port: router.port, host: HOST, durationMs: 4000, teams: [{
			key: FLOOD_KEY, perS: 300, fromMs: 0, toMs: 3500,
		}],
	});
	await delay(1000);
	const startMs = performance.now();
	router.child.kill('SIGTERM');
	const [code] = await once(router.child, 'exit') as [number | undefined]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- of a child process
	t.is(code, 0);
	t.true(performance.now() - startMs < 3000, 'the process ends within the grace period of 2 s and a margin');
	await flooded;
});
