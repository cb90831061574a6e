/**
 * Process of the callers in a flood. Sends requests at even intervals, each on a new
 * connection, and reports the outcome of each.
 */
import {once} from 'node:events';
import {connect} from 'node:net';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {type FloodPlan, type FloodReport} from './_flood-types.js';

/** Milliseconds after which a caller disconnects. */
const CALLER_TIMEOUT_MS = 3000;

type Answer = Pick<FloodReport[number], 'status' | 'tookMs' | 'retryAfter'>;

const now = () => performance.now();

const callOnce = async ({port, host}: FloodPlan, key: string, id: string, isReset: boolean): Promise<Answer> => new Promise(resolve => {
	const startMs = now();
	let text = '';
	const socket = connect(port, '127.0.0.1');
	const end = (status: number) => {
		clearTimeout(timer);
		socket.destroy();
		const [, seconds] = /^retry-after: (.*)$/imv.exec(text) ?? [];
		resolve({status, tookMs: now() - startMs, retryAfter: seconds === undefined ? undefined : Number(seconds)});
	};

	const timer = setTimeout(() => {
		end(0);
	}, CALLER_TIMEOUT_MS);
	socket.setNoDelay(true);
	socket.on('connect', () => {
		socket.write(`POST /look/a HTTP/1.1\r\nHost: ${host}\r\nX-Attempt-Id: ${id}\r\nX-Api-Key: ${key}\r\nX-Deadline-Ms: 4000\r\nContent-Length: 64\r\n\r\n${'x'.repeat(64)}`);
		if (isReset) {
			socket.resetAndDestroy();
			clearTimeout(timer);
			resolve({status: -1, tookMs: 0, retryAfter: undefined});
		}
	});
	socket.on('data', chunk => {
		text += chunk.toString('latin1');
		if (text.includes('\r\n\r\n')) {
			end(Number(text.slice(9, 12)));
		}
	});
	socket.on('error', () => {
		end(0);
	});
	socket.on('end', () => {
		end(0);
	});
});

type Attempt = {readonly key: string; readonly id: string; readonly atMs: number; readonly isReset: boolean};

const reportOf = async (plan: FloodPlan, {key, id, atMs, isReset}: Attempt): Promise<FloodReport[number]> => {
	const answer = await callOnce(plan, key, id, isReset);
	return {key, atMs, ...answer};
};

const run = async (plan: FloodPlan): Promise<FloodReport> => {
	const startMs = now();
	const calls: Array<Promise<FloodReport[number]>> = [];
	let sent = 0;
	const due = () => plan.teams.map(({key, perS, fromMs, toMs, resetShare}) => ({
		key, resetShare, count: Math.max(0, Math.floor((Math.min(now() - startMs, toMs) - fromMs) * perS / 1000)),
	}));
	const sentOf = new Map<string, number>();
	while (now() - startMs < plan.durationMs) {
		for (const {key, count, resetShare = 0} of due()) {
			for (let index = sentOf.get(key) ?? 0; index < count; index++) {
				sent++;
				const atMs = now() - startMs;
				const isReset = (index % 100) < resetShare * 100;
				calls.push(reportOf(plan, {
					key, id: `c${sent}`, atMs, isReset,
				}));
			}

			sentOf.set(key, Math.max(count, sentOf.get(key) ?? 0));
		}

		await delay(4); // eslint-disable-line no-await-in-loop
	}

	return Promise.all(calls);
};

const [plan] = await once(process, 'message') as [FloodPlan]; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- from `flood.test.ts`
const report = await run(plan);
process.send?.(report, () => {
	process.disconnect();
});
