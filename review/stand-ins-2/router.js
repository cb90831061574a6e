/* eslint-disable camelcase -- the users' protocol and settings write names this way */
/** Starts routers with the command of the deploy file, each as a process of its own with settings as its template writes them. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {openSync, readFileSync, writeFileSync} from 'node:fs';
import http from 'node:http';
import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {freeAddress} from './net.js';

/** Bounds of the small sites. */
export const BOUNDS = {
	cold_factor: 1.5, cold_slack: 5, retry_ratio: 0.2, retry_window_s: 10, retry_slack: 54, grace_s: 8, drain_ms: 2000, heartbeat_ms: 1200,
};

/** Returns the words of `run` in the deploy file. */
const commandOf = () => /^run = "(?<run>[^"]+)"$/mv.exec(readFileSync('deploy/system.toml', 'utf8')).groups.run.split(' ');

const settingsOf = ({name, zone, addresses: [callers, ready, control, metrics], store}) => `
[vm]
id = "${name}"
data_centre = "${zone}"
[listen]
callers = "${callers}"
admin = "${ready}"
control = "${control}"
metrics = "${metrics}"
[platform]
address = "${store}"
[bounds]
${Object.entries(BOUNDS).map(([key, value]) => `${key} = ${value}`).join('\n')}
[limits]
memory_mb = 350
`;

const isReadyAt = async address => new Promise(resolve => {
	const req = http.get(`http://${address}/v1/readyz`, {agent: false, timeout: 500}, res => {
		res.resume();
		resolve(res.statusCode === 200);
	});
	req.once('error', () => {
		resolve(false);
	});
	req.once('timeout', () => {
		req.destroy();
	});
});

/** Prepares a router; `start` starts its process, also again after its end. */
export const createRouter = async ({name, zone, store, folder}) => {
	const addresses = [await freeAddress(), await freeAddress(), await freeAddress(), await freeAddress()];
	const file = path.join(folder, `${name}.toml`);
	writeFileSync(file, settingsOf({
		name, zone, addresses, store,
	}));
	const log = openSync(path.join(folder, `${name}.log`), 'a');
	let child;
	const isReady = async () => isReadyAt(addresses[1]);
	return {
		name,
		zone,
		callers: addresses[0],
		logFile: path.join(folder, `${name}.log`),
		start() {
			const [program, ...args] = commandOf();
			child = spawn(program, args, {stdio: ['ignore', log, log], env: {JACKDAWWOOD_CONFIG: file}});
		},
		isReady,
		async untilReady(limitMs = 10_000) {
			const endMs = performance.now() + limitMs;
			while (!(await isReady())) { // eslint-disable-line no-await-in-loop
				if (performance.now() > endMs) {
					throw new Error(`${name} isn't ready`);
				}

				await delay(10); // eslint-disable-line no-await-in-loop
			}
		},
		/** Sends a signal; resolves at the end of the process. */
		async end(signal = 'SIGKILL') {
			if (child && child.exitCode === null && child.signalCode === null) {
				const exited = once(child, 'exit');
				child.kill(signal);
				await exited;
			}
		},
		signal(name_) {
			child?.kill(name_);
		},
		exit: () => child && (child.exitCode ?? child.signalCode),
		pid: () => child?.pid,
	};
};
