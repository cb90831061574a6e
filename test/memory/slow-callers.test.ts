/**
 * Guards against a process that grows with the number of its slow callers until it is killed,
 * and against fast callers that are refused because responses to slow callers use up the memory.
 */
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {Agent, request} from 'undici';
import {configOf, HOST, KEY} from '../platform/_platform.js';
import {startBigTarget} from './_big-target.js';
import {startRouterProcess} from './_router-process.js';

/** Memory of the smallest VM. */
const MEMORY_MB = 210;
const SLOW_CALLERS = 600;
const SLOW_STREAMS = 400;
/** Length of a response, which is larger than the socket buffers of two connections. */
const SLOW_RESPONSE_BYTES = 16_000_000;
const FAST_RESPONSE_BYTES = 20_000;
/** Bytes that a slow caller reads at a time, and milliseconds between reads. */
const READ_BYTES = 8;
const READ_INTERVAL_MS = 1000;

/** Routes with a timeout of a minute, and services that accept a connection for each caller. */
const changes = {
	routes: configOf(7).routes.map(route => ({...route, timeout_ms: 60_000})),
	services: configOf(7).services.map(service => ({...service, max_connections: 4000})),
};

type SlowCaller = {readonly id: string; readonly path: string; readonly readsSlowly: boolean};

/** Sends a request and reads a few bytes of the response a second, or nothing if `readsSlowly` is false. */
const openSlowCaller = async (t: ExecutionContext, address: string, {id, path, readsSlowly}: SlowCaller): Promise<Socket> => {
	const caller = connect({port: Number(address.split(':')[1]), host: '127.0.0.1'});
	caller.on('error', () => undefined);
	caller.pause();
	await once(caller, 'connect');
	caller.write(`GET ${path} HTTP/1.1\r\nHost: ${HOST}\r\nX-Attempt-Id: ${id}\r\nX-Api-Key: ${KEY}\r\nX-Deadline-Ms: 60000\r\n\r\n`);
	const timer = readsSlowly
		? setInterval(() => {
			caller.read(READ_BYTES);
		}, READ_INTERVAL_MS)
		: undefined;
	t.teardown(() => {
		clearInterval(timer);
		caller.destroy();
	});
	return caller;
};

test.serial('with hundreds of callers that read a few bytes a second or nothing, the process stays below its memory and fast callers are served', async t => {
	const target = await startBigTarget(t);
	const router = await startRouterProcess(t, {targets: {l1: target.address, l2: target.address}, limits: `memory_mb = ${MEMORY_MB}\nconnections_per_team = 5000`, changes});
	const agent = new Agent({connections: 4});
	t.teardown(async () => agent.destroy());
	let calls = 0;
	const callFast = async (): Promise<number> => {
		calls++;
		const {statusCode, body} = await request(`http://${router.callers}/look/${FAST_RESPONSE_BYTES}`, {
			dispatcher: agent, headers: {host: HOST, 'x-attempt-id': `fast-${calls}`, 'x-deadline-ms': '4000'},
		});
		await body.dump();
		return statusCode;
	};

	t.is(await callFast(), 200);
	const before = router.residentMb();
	for (let index = 0; index < SLOW_CALLERS; index += 20) {
		// eslint-disable-next-line no-await-in-loop -- a few at a time, as callers arrive
		await Promise.all(Array.from({length: 20}, async (_, offset) => openSlowCaller(t, router.callers, {
			id: `slow-${index + offset}`, path: `/look/${SLOW_RESPONSE_BYTES}`, readsSlowly: offset % 2 === 0,
		})));
		await delay(20); // eslint-disable-line no-await-in-loop
	}

	const statuses: number[] = [];
	const endMs = performance.now() + 8000;
	while (performance.now() < endMs) {
		statuses.push(await callFast()); // eslint-disable-line no-await-in-loop
		await delay(50); // eslint-disable-line no-await-in-loop
	}

	const served = statuses.filter(status => status === 200).length;
	const ended = router.log().split('response ended to free memory').length - 1;
	t.log(`before ${before.toFixed(1)} MB, now ${router.residentMb().toFixed(1)} MB, peak ${router.peakMb().toFixed(1)} MB`);
	t.log(`fast callers served ${served} of ${statuses.length}; slow callers ended ${ended} of ${SLOW_CALLERS}`);
	t.true(router.peakMb() < MEMORY_MB, `${router.peakMb().toFixed(1)} MB`);
	t.true(served >= statuses.length * 0.9, `${served} of ${statuses.length}`);
	t.false(router.hasEnded());
});

test.serial('with hundreds of callers that read a few bytes of their streams or nothing, the process stays below its memory', async t => {
	const target = await startBigTarget(t);
	const router = await startRouterProcess(t, {
		targets: {m1: target.address, m2: target.address, l1: target.address}, limits: `memory_mb = ${MEMORY_MB}\nconnections_per_team = 5000`, changes,
	});
	const before = router.residentMb();
	for (let index = 0; index < SLOW_STREAMS; index += 20) {
		// eslint-disable-next-line no-await-in-loop -- a few at a time, as callers arrive
		await Promise.all(Array.from({length: 20}, async (_, offset) => openSlowCaller(t, router.callers, {
			id: `stream-${index + offset}`, path: '/brief/events', readsSlowly: offset % 2 === 0,
		})));
		await delay(20); // eslint-disable-line no-await-in-loop
	}

	await delay(6000);
	const ended = router.log().split('response ended to free memory').length - 1;
	t.log(`before ${before.toFixed(1)} MB, peak ${router.peakMb().toFixed(1)} MB; streams ended ${ended} of ${SLOW_STREAMS}; ${target.arrivals()} requests reached targets`);
	t.true(target.arrivals() > SLOW_STREAMS / 4, 'streams were started');
	t.true(router.peakMb() < MEMORY_MB, `${router.peakMb().toFixed(1)} MB`);
	t.false(router.hasEnded());
});
