/** Runs the deployed bundle with the command of `deploy/system.toml` and reads the processor time that it uses. */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {readdirSync, readFileSync} from 'node:fs';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {type ExecutionContext} from 'ava';
import {parse} from 'smol-toml';
import {request} from 'undici';
import * as z from 'zod';
import {startWorksStore} from '../../standins/works/works-store.js';
import {startWorksTarget} from '../../standins/works/works-target.js';
import {freeAddresses} from '../../tools/fleet/free-ports.js';
import {
	configOf, HOST, KEY, settingsText, until,
} from './_platform.js';

const NS_PER_MS = 1e6;
const deployFileSchema = z.looseObject({roles: z.looseObject({router: z.looseObject({run: z.string()})})});
const MODELS = ['m1', 'm2'];
const LEDGERS = ['l1', 'l2'];

/** Words of the command that starts a router on the platform. */
export const deployedCommand = (): readonly string[] => {
	const {roles} = deployFileSchema.parse(parse(readFileSync('deploy/system.toml', 'utf8')));
	return roles.router.run.split(' ');
};

/** Processor time of all threads of a process so far, in milliseconds. */
export const processorMs = (pid: number): number => readdirSync(`/proc/${pid}/task`)
	.map(thread => Number(readFileSync(`/proc/${pid}/task/${thread}/schedstat`, 'utf8').split(' ')[0]))
	.reduce((sum, ns) => sum + ns, 0) / NS_PER_MS;

export type DeployedRouter = {
	readonly process: ChildProcess;
	readonly usedMs: () => number;
	/** Sends one request and reads its whole response. */
	readonly call: (path: string) => Promise<{readonly status: number; readonly body: string}>;
};

/** Starts stand-ins and one router by `command`; resolves when the router is ready. */
export const startDeployedRouter = async (t: ExecutionContext, [program = '', ...args] = deployedCommand()): Promise<DeployedRouter> => {
	const store = await startWorksStore();
	const targets = await Promise.all([...MODELS, ...LEDGERS].map(async id => startWorksTarget({id, stream: MODELS.includes(id)})));
	store.put('op', 'config', configOf(7));
	for (const {id, address} of targets) {
		store.put('servers', id, {
			service: MODELS.includes(id) ? 'tariff' : 'ledger', address, zone: 'dc-a', version: 'v1', slots: 8, state: 'ready', cold_remaining_ms: 0, sequence: 1, born: 1000,
		});
	}

	const addresses = await freeAddresses(4);
	const [callers = '', ready = ''] = addresses;
	const folder = await mkdtemp(path.join(tmpdir(), 'jackdawwood-'));
	const file = path.join(folder, 'settings.toml');
	await writeFile(file, settingsText(addresses, store.address));
	const router = spawn(program, args, {stdio: 'inherit', env: {JACKDAWWOOD_CONFIG: file}});
	const exited = once(router, 'exit');
	t.teardown(async () => {
		router.kill('SIGKILL');
		await exited;
		await Promise.all([store.close(), ...targets.map(async target => target.close()), rm(folder, {recursive: true})]);
	});
	await until(t, async () => {
		const status = await request(`http://${ready}/v1/readyz`).then(async ({statusCode, body}) => {
			await body.dump();
			return statusCode;
		}, () => 0);
		return status === 200;
	}, 'ready');
	let calls = 0;
	return {
		process: router,
		usedMs: () => processorMs(router.pid ?? 0),
		async call(callPath) {
			calls++;
			const {statusCode, body} = await request(`http://${callers}${callPath}`, {
				method: callPath.startsWith('/look/') ? 'GET' : 'POST',
				headers: {
					host: HOST, 'x-attempt-id': `a${calls}`, 'x-api-key': KEY, 'x-deadline-ms': '4000',
					'x-model': 'm', 'x-token-count': '1800,25', 'x-prompt-prefix': `1a:512,${calls}c:1288`, 'x-length-hint': '25',
				},
				...(!callPath.startsWith('/look/') && {body: 'x'.repeat(600)}),
			});
			return {status: statusCode, body: await body.text()};
		},
	};
};
