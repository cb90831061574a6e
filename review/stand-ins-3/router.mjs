/** Starts routers by the command of the deploy file, each on a loopback address of its own, with the ports that all machines share. */
import {spawn} from 'node:child_process';
import {randomInt} from 'node:crypto';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import http from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {until} from './clock.mjs';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const READY_LIMIT_MS = 15_000;
const MAX_BYTE = 250;
const PORTS = {
	callers: 8783, ready: 8780, exchange: 7400, metrics: 9464,
};
/** The network of this run's addresses, drawn at random so that two runs at a time do not meet. */
const [second, third] = [randomInt(16, MAX_BYTE), randomInt(0, MAX_BYTE - 10)];

const command = () => {
	const deployFile = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
	return /^run = "(?<words>[^"]+)"$/mv.exec(deployFile).groups.words.split(' ');
};

/** The settings of `deploy/settings.template` with the bounds and limits of the small sites. */
const settings = ({name, zone, ip, storeAddress}) => `[vm]
id = "${name}"
data_centre = "${zone}"

[listen]
callers = "${ip}:${PORTS.callers}"
admin = "${ip}:${PORTS.ready}"
control = "${ip}:${PORTS.exchange}"
metrics = "${ip}:${PORTS.metrics}"

[platform]
address = "${storeAddress}"

[bounds]
cold_factor = 1.5
cold_slack = 5
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 54
grace_s = 8
drain_ms = 2000
heartbeat_ms = 1200

[limits]
memory_mb = 350
`;

const running = new Set();
const killAll = () => {
	for (const child of running) {
		child.kill('SIGKILL');
	}
};

process.on('exit', killAll);
for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) {
	process.on(signal, () => {
		process.exit(2);
	});
}

let started = 0;

/** Starts the router of one machine; does not wait until it is ready. */
export const startRouter = ({name, zone, storeAddress}) => {
	started++;
	const ip = `127.${second}.${third + Math.floor(started / MAX_BYTE)}.${(started % MAX_BYTE) + 1}`;
	const folder = mkdtempSync(path.join(tmpdir(), 'review-'));
	const file = path.join(folder, 'node.toml');
	writeFileSync(file, settings({
		name, zone, ip, storeAddress,
	}));
	const [program, ...args] = command();
	const child = spawn(program, args, {cwd: ROOT, stdio: ['ignore', 'pipe', 'pipe'], env: {PATH: process.env.PATH, HOME: process.env.HOME, JACKDAWWOOD_CONFIG: file}});
	running.add(child);
	const router = {
		name, ip, port: PORTS.callers, output: '', end: undefined,
	};
	const collect = bytes => {
		router.output += bytes;
	};

	child.stdout.on('data', collect);
	child.stderr.on('data', collect);
	const ended = new Promise(resolve => {
		child.once('exit', (code, signal) => {
			running.delete(child);
			rmSync(folder, {recursive: true, force: true});
			router.end = {code, signal};
			resolve();
		});
	});
	router.kill = async signal => {
		child.kill(signal);
		await ended;
	};

	return router;
};

const readiness = async ({ip}) => new Promise(resolve => {
	const req = http.get({
		host: ip, port: PORTS.ready, path: '/v1/readyz', agent: false,
	}, res => {
		res.resume();
		resolve(res.statusCode === 200);
	});
	req.on('error', () => {
		resolve(false);
	});
});

/** Waits until a router says that it is ready; ends the run with 2 if it does not. */
export const waitUntilReady = async router => {
	if (!await until(async () => readiness(router), READY_LIMIT_MS)) {
		console.log(`${router.name} did not become ready: ${router.output.slice(0, 500)}`);
		process.exit(2);
	}
};
