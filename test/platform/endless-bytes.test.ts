/** Guards against servers that send bytes without end, until the caller closes: they are neither kept, nor read until a time limit ends the call. */
import {once} from 'node:events';
import {createServer} from 'node:http';
import test, {type ExecutionContext} from 'ava';
import {createStoreClient} from '../../platform/store-client.js';
import {startLoadPoller} from '../../src/runtime/dispatch/load-poller.js';
import {monotonicClock} from '../../src/runtime/monotonic-clock.js';
import {silentLog} from '../../src/runtime/observe/log.js';
import {createMetrics} from '../../src/runtime/observe/metrics.js';
import {exchange} from '../../src/runtime/platform/platform-http.js';
import {createRenewablePool} from '../../src/runtime/platform/renewable-pool.js';
import {startWorksTarget} from '../../standins/works/works-target.js';
import {grantingScheduler, startTestEntry, TOKEN} from '../entry/_entry.js';
import {startRouterProcess} from '../memory/_router-process.js';
import {
	shapes, startEndlessServer, type EndlessServer, type ShapeName,
} from './_endless-target.js';
import {completeStream, until} from './_platform.js';
import {callRaw} from './_raw-call.js';

/** Most bytes that the buffers of the system hold for one connection on loopback, besides what a process reads. */
const SYSTEM_BUFFER_BYTES = 16_777_216;
/** Milliseconds in which a connection that sends at full speed is closed; the time limits of calls are one second and more. */
const CLOSED_WITHIN_MS = 500;
/** Memory of the smallest VM in MB. */
const ROUTER_MB = 210;
const PROMPT = {'x-model': 'm', 'x-token-count': '100,8', 'x-prompt-prefix': 'aa:50,bb:50'};
/** Largest response of the platform in bytes. */
const PLATFORM_RESPONSE_BYTES = 67_108_864;
/** Shapes whose bytes belong to no body. */
const shapeNames = (Object.keys(shapes) as readonly ShapeName[]).filter(shape => shape !== 'body'); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- a constant's keys

/** Checks that the server's connections were closed soon, and not by a time limit. */
const expectClosed = async (t: ExecutionContext, {sending, mostWritten, longestMs}: EndlessServer): Promise<void> => {
	await until(t, () => mostWritten() > 0 && sending() === 0, 'connections closed');
	t.true(mostWritten() < SYSTEM_BUFFER_BYTES, `${mostWritten()} bytes taken`);
	t.true(longestMs() < CLOSED_WITHIN_MS, `closed after ${longestMs()} ms`);
};

for (const shape of shapeNames) {
	test.serial(`a target that sends bytes without end is given up at once, and its caller gets no success: ${shape}`, async t => {
		const server = await startEndlessServer(t);
		const router = await startRouterProcess(t, {targets: {m1: server.address, l1: server.address}});
		for (const route of ['chat', 'look']) {
			const {status, isComplete, body} = await callRaw(router.callers, `/${route}/${shape}`); // eslint-disable-line no-await-in-loop
			t.true(status !== 200 || !isComplete || (shape === 'after-body' && body === 'done'), `${route}: ${status}`);
		}

		await expectClosed(t, server);
	});

	test.serial(`a target of the product's own protocol that sends bytes without end is given up at once: ${shape}`, async t => {
		const server = await startEndlessServer(t);
		const {entry} = await startTestEntry(t, {scheduler: grantingScheduler(() => server.address)});
		const {status, isComplete, body} = await callRaw(entry.address, `/services/ledger/${shape}`, {headers: {authorization: `Bearer ${TOKEN}`}});
		t.true(status !== 200 || !isComplete || (shape === 'after-body' && body === 'done'), `${status}`);
		await expectClosed(t, server);
	});

	test.serial(`calls to a store, a platform and a load report that send bytes without end fail at once: ${shape}`, async t => {
		const servers = await Promise.all([1, 2, 3].map(async () => startEndlessServer(t, shape)));
		const [store, platform, target] = servers.map(({address}) => address);
		const client = createStoreClient({
			address: store ?? '', clock: monotonicClock, metrics: createMetrics(), log: silentLog,
		});
		const pool = createRenewablePool(`http://${platform ?? ''}`, {});
		t.teardown(async () => Promise.all([client.close(), pool.destroy()]));
		const isSound = shape === 'after-body';
		t.like(await client.read('op'), {kind: 'unavailable'});
		t.like(await exchange(pool, {method: 'GET', path: '/'}, 5000), {kind: isSound ? 'answer' : 'unavailable'});
		t.is(await loadOf(t, target ?? ''), undefined);
		for (const server of servers) {
			await expectClosed(t, server); // eslint-disable-line no-await-in-loop
		}
	});
}

/** Polls a target once; resolves to what the poll returned. */
async function loadOf(t: ExecutionContext, address: string): Promise<unknown> {
	return new Promise(resolve => {
		const stop = startLoadPoller({
			targets: () => [{service: 's', target: 't', address}],
			onLoad(_, report) {
				stop();
				resolve(report);
			},
		});
		t.teardown(stop);
	});
}

test.serial('a body without end is read up to the largest response of a store, a platform and a load report', async t => {
	const servers = await Promise.all([1, 2, 3].map(async () => startEndlessServer(t, 'body')));
	const [store, platform, target] = servers.map(({address}) => address);
	const client = createStoreClient({
		address: store ?? '', clock: monotonicClock, metrics: createMetrics(), log: silentLog,
	});
	const pool = createRenewablePool(`http://${platform ?? ''}`, {});
	t.teardown(async () => Promise.all([client.close(), pool.destroy()]));
	t.like(await client.read('op'), {kind: 'unavailable'});
	t.like(await exchange(pool, {method: 'GET', path: '/'}, 5000), {kind: 'unavailable'});
	t.is(await loadOf(t, target ?? ''), undefined);
	await until(t, () => servers.every(({sending, mostWritten}) => mostWritten() > 0 && sending() === 0), 'connections closed');
	t.deepEqual(servers.map(({mostWritten}, index) => mostWritten() < SYSTEM_BUFFER_BYTES + (index === 1 ? PLATFORM_RESPONSE_BYTES : 0)), [true, true, true]);
});

test.serial('a load report whose body drips without end ends at the time limit of its call', async t => {
	const server = createServer((_, res) => {
		const timer = setInterval(() => {
			res.write(' ');
		}, 100);
		res.once('close', () => {
			clearInterval(timer);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.closeAllConnections();
		server.close();
	});
	const address = server.address();
	const startMs = performance.now();
	t.is(await loadOf(t, `127.0.0.1:${typeof address === 'object' ? address?.port ?? 0 : 0}`), undefined);
	t.true(performance.now() - startMs < 2500);
});

test.serial('with many targets that send bytes without end to callers that read nothing, the process stays below its memory and other requests are served', async t => {
	const [server, sound] = await Promise.all([startEndlessServer(t), startWorksTarget({id: 'm1', stream: true})]);
	t.teardown(async () => sound.close());
	const targets = new Map([['m1', sound.address], ...Array.from({length: 8}, (_, index) => [`l${index}`, server.address] as const)]);
	const router = await startRouterProcess(t, {targets: Object.fromEntries(targets)});
	const endless = Promise.all(Array.from({length: 5}, () => shapeNames).flat().map(async shape => callRaw(router.callers, `/debit/${shape}`, {pauseMs: 2000})));
	for (let count = 0; count < 10; count++) {
		// A caller that is refused comes back.
		// eslint-disable-next-line no-await-in-loop
		await until(t, async () => {
			const {status, body} = await callRaw(router.callers, '/chat/x', {headers: PROMPT});
			return status === 200 && body === completeStream;
		}, 'another request is served');
	}

	const responses = await endless;
	t.deepEqual(responses.filter(({status, isComplete, body}) => status === 200 && isComplete && body !== 'done'), []);
	t.true(router.peakMb() < ROUTER_MB, `${router.peakMb()}`);
});
