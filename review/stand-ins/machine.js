/* eslint camelcase: off -- names in the record */
/** Runs the deployed program on one machine of its own loopback address, and restarts it when it ends, as the platform does. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {mkdirSync, readFileSync, writeFileSync} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {machineFields, renderTemplate} from './settings.js';

const ROOT = path.resolve(import.meta.dirname, '../..');
const READY_POLL_MS = 50;
const START_LIMIT_MS = 30_000;
/** Milliseconds from the end of a process to its restart. */
const RESTART_MS = 500;
const FRONTEND_PORT = 8800;
const READY_PORT = 8700;
const EXCHANGE_PORT = 7400;

const deployed = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
const fieldOf = name => new RegExp(String.raw`^${name} = "(.*)"$`, 'mv').exec(deployed)?.[1] ?? '';

/** Returns the first port from `first` on that is free; it is below the range from which the system picks ports. */
const freePort = async (ip, first) => {
	const server = net.createServer();
	try {
		server.listen(first, ip);
		await once(server, 'listening');
		return first;
	} catch {
		return await freePort(ip, first + 1);
	} finally {
		server.close();
	}
};

export const createMachine = async ({name, zone, index, store, folder, record}) => {
	// The metrics port of the deploy file is fixed, so each machine has a loopback address of its own.
	const ip = `127.${10 + (process.pid % 200)}.${Math.floor(process.pid / 200) % 250}.${10 + index}`;
	const [frontend, ready, exchange] = [await freePort(ip, FRONTEND_PORT), await freePort(ip, READY_PORT), await freePort(ip, EXCHANGE_PORT)];
	const fields = machineFields({
		name, zone, ip, ports: {frontend, ready, exchange}, store,
	});
	const home = path.join(folder, name);
	mkdirSync(home, {recursive: true});
	const file = path.join(home, 'settings.toml');
	const [program, ...args] = fieldOf('run').split(' ');
	let child;
	let isClosed = false;
	let starts = 0;
	/** Ends of the process, each with its exit code, its signal and the milliseconds that it ran. */
	const ends = [];

	const start = () => {
		starts++;
		writeFileSync(file, renderTemplate(readFileSync(path.join(ROOT, fieldOf('template')), 'utf8'), fields));
		const startedMs = performance.now();
		child = spawn(path.join(ROOT, program), args, {
			cwd: ROOT, stdio: ['ignore', 'ignore', 'inherit'], env: {
				PATH: process.env.PATH, HOME: home, LANG: 'C', JACKDAWWOOD_CONFIG: file,
			},
		});
		record('process started', {machine: name, pid: child.pid});
		child.once('exit', (code, signal) => {
			const ranMs = Math.round(performance.now() - startedMs);
			ends.push({code, signal, ranMs});
			record('process ended', {
				machine: name, code, signal, ran_ms: ranMs,
			});
			if (!isClosed) {
				setTimeout(() => {
					if (!isClosed) {
						start();
					}
				}, RESTART_MS);
			}
		});
	};

	const isReady = async () => new Promise(resolve => {
		http.get({
			host: ip, port: ready, path: '/v1/readyz', agent: false,
		}, res => {
			res.resume();
			resolve(res.statusCode === 200);
		}).once('error', () => {
			resolve(false);
		});
	});

	return {
		name,
		ip,
		frontend,
		start,
		isReady,
		ends,
		starts: () => starts,
		signal(signal) {
			record('signal', {machine: name, signal});
			child.kill(signal);
		},
		async untilReady() {
			const endMs = performance.now() + START_LIMIT_MS;
			while (!(await isReady())) { // eslint-disable-line no-await-in-loop
				if (performance.now() > endMs) {
					throw new Error(`${name} is not ready after ${START_LIMIT_MS} ms`);
				}

				await delay(READY_POLL_MS); // eslint-disable-line no-await-in-loop
			}
		},
		close() {
			isClosed = true;
			child?.kill('SIGKILL');
		},
	};
};
