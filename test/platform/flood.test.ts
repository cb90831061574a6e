/**
 * A flood of new connections at one router process that runs for a third of the time: it is
 * stopped and continued in cycles of 100 ms.
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

const SHARE = 0.33;
const CYCLE_MS = 100;
/** Milliseconds within which every caller has to be answered. */
const MAX_ANSWER_MS = 500;
const FLOOD = 'key-of-flood';
const NEIGHBOURS = Array.from({length: 9}, (_, index) => `key-${index}`);
/** Milliseconds for which nine teams send before the flood begins. */
const FLOOD_FROM_MS = 2000;
const FLOOD_TO_MS = 7000;

const processFile = (name: string): string => fileURLToPath(new URL(name, import.meta.url));

/** Lets a process run for a part of each cycle only. */
const throttle = (child: ChildProcess) => {
	const cycles = setInterval(() => {
		child.kill('SIGCONT');
		setTimeout(() => {
			child.kill('SIGSTOP');
		}, CYCLE_MS * SHARE);
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
	store.put('op', 'config', configOf(7, {tenants: [FLOOD, ...NEIGHBOURS].map(key => ({name: key.replace('key-', ''), api_keys: [key], priority: 1}))}));
	store.put('servers', 'l1', {
		service: 'ledger', address: target.address, zone: 'dc-a', version: 'v1', slots: 64, state: 'ready', cold_remaining_ms: 0, sequence: 1, born: 1000,
	});
	const addresses = await freeAddresses(4);
	const [callers = '', ready = ''] = addresses;
	const folder = await mkdtemp(path.join(os.tmpdir(), 'flood-'));
	const settingsFile = path.join(folder, 'router.toml');
	const text = settingsText(addresses, store.address, 20).replace('[limits]', `[limits]\nprocessor_share = ${SHARE}`).replace('"silent"', '"info"');
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

const neighbours = (perS: number, toMs: number): FloodPlan['teams'] => NEIGHBOURS.map(key => ({
	key, perS, fromMs: 0, toMs,
}));

const describe = (t: ExecutionContext, report: FloodReport) => {
	const answered = report.filter(({status}) => status >= 0);
	const times = answered.map(({tookMs}) => tookMs).toSorted((a, b) => a - b);
	const late = answered.filter(({status, tookMs}) => status === 0 || tookMs > MAX_ANSWER_MS);
	const ofFlood = answered.filter(({key, atMs}) => key === FLOOD && atMs >= FLOOD_FROM_MS);
	const others = answered.filter(({key, atMs}) => key !== FLOOD && atMs >= FLOOD_FROM_MS && atMs < FLOOD_TO_MS);
	const served = (calls: FloodReport) => calls.filter(({status}) => status === 200).length;
	const at = (part: number): string => (times[Math.min(times.length - 1, Math.floor(times.length * part))] ?? 0).toFixed(0);
	t.log([
		`${answered.length} callers: ${late.length} not answered within ${MAX_ANSWER_MS} ms`,
		`${answered.filter(({status}) => status === 0).length} of them never`,
		`median ${at(0.5)} ms, 99% ${at(0.99)} ms, slowest ${at(1)} ms`,
		`served ${served(ofFlood)} of ${ofFlood.length} of the flood, ${served(others)} of ${others.length} of the others meanwhile`,
	].join('; '));
	return {
		answered, late, others, ofFlood, served,
	};
};

const floodOf700: FloodPlan['teams'] = [...neighbours(2, FLOOD_TO_MS + 1000), {
	key: FLOOD, perS: 700, fromMs: FLOOD_FROM_MS, toMs: FLOOD_TO_MS,
}];

test.serial('every caller of a VM with a third of a processor is answered within half a second in a flood of 700 connections a second', async t => {
	const router = await startRouter(t);
	const report = await flood({
		port: router.port, host: HOST, durationMs: FLOOD_TO_MS + 1000, teams: floodOf700,
	});
	const {late, answered} = describe(t, report);
	t.is(late.length, 0, `${late.length} of ${answered.length}`);
});

test.serial('a team that floods a VM with a third of a processor gives way to the others', async t => {
	const router = await startRouter(t);
	const report = await flood({
		port: router.port, host: HOST, durationMs: FLOOD_TO_MS + 1000, teams: floodOf700,
	});
	const {others, ofFlood, served} = describe(t, report);
	t.deepEqual([...new Set(report.map(({status}) => status))].filter(status => ![0, 200, 503].includes(status)), []);
	t.true(served(others) / others.length > served(ofFlood) / ofFlood.length, 'the flooding team gives way');
	const delays = new Set(ofFlood.filter(({status}) => status === 503).map(({retryAfter}) => retryAfter));
	t.true(delays.size > 10, 'callers that are refused together come back at different times');
	const lines = router.log().split('\n').filter(line => line.includes('requests refused') && line.includes('of-flood'));
	t.true(lines.length > 0 && lines.length <= ((FLOOD_TO_MS - FLOOD_FROM_MS) / 1000) + 2, `${lines.length} lines of the flood`);
	await until(t, router.isReady, 'ready after the flood');
});

test.serial('connections that send nothing, heads that do not end and callers that reset keep no other caller waiting', async t => {
	const router = await startRouter(t);
	const texts = ['', 'GET /look/a HTTP/1.1\r\nHost: ', 'POST /look/a HTTP/1.1\r\nHost: h\r\nContent-Length: 64\r\n\r\nx'];
	const silent = Array.from({length: 60}, (_, index) => {
		const socket = connect(router.port, '127.0.0.1');
		socket.on('error', () => undefined);
		socket.write(texts[index % texts.length] ?? '');
		return socket;
	});
	const report = await flood({
		port: router.port, host: HOST, durationMs: 3000, teams: [...neighbours(1, 3000), {
			key: FLOOD, perS: 20, fromMs: 500, toMs: 2500, resetPart: 1,
		}],
	});
	for (const socket of silent) {
		socket.destroy();
	}

	const {answered} = describe(t, report);
	t.deepEqual(answered.filter(({status}) => status !== 200), []);
});

test.serial('a VM that is stopped for a second in a flood answers again when it goes on', async t => {
	const router = await startRouter(t, {isThrottled: false});
	const flooded = flood({
		port: router.port, host: HOST, durationMs: 5000, teams: [...neighbours(2, 5000), {
			key: FLOOD, perS: 200, fromMs: 0, toMs: 4000,
		}],
	});
	await delay(1500);
	router.child.kill('SIGSTOP');
	await delay(1000);
	router.child.kill('SIGCONT');
	const report = await flooded;
	const {answered} = describe(t, report);
	const later = answered.filter(({key, atMs}) => key !== FLOOD && atMs > 3000);
	t.deepEqual(later.filter(({status}) => status === 0), []);
	await until(t, router.isReady, 'ready');
});

test.serial('a VM that is stopped by plan in a flood ends in time', async t => {
	const router = await startRouter(t, {isThrottled: false});
	const flooded = flood({
		port: router.port, host: HOST, durationMs: 4000, teams: [{
			key: FLOOD, perS: 300, fromMs: 0, toMs: 3500,
		}],
	});
	await delay(1000);
	const startMs = performance.now();
	router.child.kill('SIGTERM');
	const [code] = await once(router.child, 'exit') as [number | undefined]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- of a child process
	t.is(code, 0);
	t.true(performance.now() - startMs < 3000, 'within the grace period of 2 s and the time to end');
	await flooded;
});
