/**
 * Guards against a process that grows with the request bodies that slow targets do not read,
 * and against other requests that are refused because of these bodies.
 */
import {Buffer} from 'node:buffer';
import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {Agent, request} from 'undici';
import {configOf, HOST, KEY} from '../platform/_platform.js';
import {startBigTarget} from './_big-target.js';
import {startRouterProcess} from './_router-process.js';

const MEMORY_MB = 210;
const CALLERS = 150;
/** Length of a request body, close to the largest allowed one. */
const BODY = Buffer.alloc(4_000_000, 'x');
/** Milliseconds after which a request to a target that does not read its body is ended. */
const ROUTE_TIMEOUT_MS = 6000;

const changes = {
	routes: configOf(7).routes.map(route => ({...route, timeout_ms: ROUTE_TIMEOUT_MS})),
	services: configOf(7).services.map(service => ({...service, max_connections: 4000})),
};

test.serial('with targets that read no request bodies, the process stays below its memory and other requests are served', async t => {
	const target = await startBigTarget(t);
	const router = await startRouterProcess(t, {targets: {l1: target.address, l2: target.address}, limits: `memory_mb = ${MEMORY_MB}\nconnections_per_team = 5000`, changes});
	const agent = new Agent({connections: CALLERS + 4});
	t.teardown(async () => agent.destroy());
	let calls = 0;
	const call = async (path: string, body?: Uint8Array) => {
		calls++;
		const res = await request(`http://${router.callers}${path}`, {
			method: body ? 'POST' : 'GET', body: body ?? null, dispatcher: agent, headers: {
				host: HOST, 'x-attempt-id': `a${calls}`, 'x-api-key': KEY, 'x-deadline-ms': String(ROUTE_TIMEOUT_MS),
			},
		});
		const text = await res.body.text();
		return {status: res.statusCode, retryAfter: Number(res.headers['retry-after']), text};
	};

	const first = await call('/look/100');
	t.is(first.status, 200);
	const before = router.residentMb();
	const slow = Array.from({length: CALLERS}, async () => call('/debit/stuck', BODY).catch(() => undefined));
	const others: number[] = [];
	const endMs = performance.now() + (ROUTE_TIMEOUT_MS - 1000);
	while (performance.now() < endMs) {
		const {status} = await call('/look/20000'); // eslint-disable-line no-await-in-loop
		others.push(status);
		await delay(50); // eslint-disable-line no-await-in-loop
	}

	const answers = await Promise.all(slow);
	const refused = answers.filter(answer => answer?.status === 503);
	const served = others.filter(status => status === 200).length;
	t.log(`before ${before.toFixed(1)} MB, peak ${router.peakMb().toFixed(1)} MB; ${target.arrivals()} requests reached targets`);
	t.log(`refused ${refused.length} of ${CALLERS}, other requests served ${served} of ${others.length}`);
	t.true(router.peakMb() < MEMORY_MB, `${router.peakMb().toFixed(1)} MB`);
	t.is(answers.filter(answer => answer === undefined).length, 0, 'each caller gets a response');
	t.true(refused.length > 0);
	t.deepEqual(refused.filter(answer => answer && (answer.retryAfter < 0.1 || answer.retryAfter > 0.6)), [], 'the retry delay is short, since another VM may have capacity');

	t.true(served >= others.length * 0.9, `${served} of ${others.length}`);
	t.false(router.hasEnded());
	const last = await call('/look/100');
	t.is(last.status, 200);
});
