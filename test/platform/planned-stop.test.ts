/** Guards against requests that a VM takes late in the grace period of its planned stop and cuts at its end, and against streams that are cut there and look complete. */
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {startWorksTarget} from '../../standins/works/works-target.js';
import {startRouterProcess} from '../memory/_router-process.js';
import {HOST, KEY, until} from './_platform.js';
import {callRaw} from './_raw-call.js';

/** Milliseconds that a target takes for a request. The grace period of the test's settings is 2 s. */
const RUN_MS = 700;
/** Milliseconds after the signal: while the balancer may still send new connections, and late in the grace period. */
const EARLY_MS = 300;
const LATE_MS = [1100, 1300];
const CALLERS = 10;

type Caller = {
	readonly socket: Socket;
	readonly response: () => string;
	readonly closed: Promise<unknown>;
};

const open = async (address: string): Promise<Caller> => {
	const [host = '', port = ''] = address.split(':');
	const socket = connect(Number(port), host);
	let response = '';
	socket.on('data', (chunk: Uint8Array) => {
		response += new TextDecoder().decode(chunk);
	});
	socket.on('error', () => undefined);
	const closed = once(socket, 'close');
	await once(socket, 'connect');
	return {socket, response: () => response, closed};
};

const BODY = 'twenty-two bytes of it';
const headOf = (id: string): string =>
	`POST /debit/${id} HTTP/1.1\r\nhost: ${HOST}\r\nx-api-key: ${KEY}\r\nx-attempt-id: ${id}\r\nx-deadline-ms: 4000\r\ncontent-length: ${BODY.length}\r\n\r\n`;

const statusOf = ({response}: Caller): string => response().split(' ', 2)[1] ?? 'none';
/** Whether a response has its whole body. */
const isWhole = ({response}: Caller): boolean => {
	const [head = '', body = ''] = response().split('\r\n\r\n');
	return body.length === Number(/content-length: (\d+)/iv.exec(head)?.[1] ?? 0) || body.endsWith('0');
};

test.serial('requests that arrive late in the grace period of a planned stop are answered or refused as not run, and none is cut', async t => {
	const target = await startWorksTarget({id: 'l1', stream: false});
	t.teardown(async () => target.close());
	target.delayResponses(RUN_MS);
	const router = await startRouterProcess(t, {targets: {l1: target.address}});
	const openAll = async (): Promise<readonly Caller[]> => Promise.all(Array.from({length: CALLERS}, async () => open(router.callers)));
	const early = await openAll();
	const fresh = await Promise.all(LATE_MS.map(async () => openAll()));
	const slow = await Promise.all(LATE_MS.map(async () => openAll()));
	for (const [group, callers] of slow.entries()) {
		for (const [index, {socket}] of callers.entries()) {
			socket.write(headOf(`slow${group}-${index}`) + BODY.slice(0, 3));
		}
	}

	await delay(100);
	router.signal('SIGTERM');
	const stopMs = performance.now();
	await delay(EARLY_MS);
	for (const [index, {socket}] of early.entries()) {
		socket.write(headOf(`early${index}`) + BODY);
	}

	for (const [group, lateMs] of LATE_MS.entries()) {
		await delay(stopMs + lateMs - performance.now()); // eslint-disable-line no-await-in-loop
		for (const [index, {socket}] of fresh[group]!.entries()) {
			socket.write(headOf(`fresh${group}-${index}`) + BODY);
		}

		for (const {socket} of slow[group]!) {
			socket.write(BODY.slice(3));
		}
	}

	await until(t, router.hasEnded, 'the process has ended');
	const late = [...fresh, ...slow].flat();
	await Promise.all([...early, ...late].map(async ({closed}) => closed));
	t.deepEqual(new Set(early.map(caller => statusOf(caller))), new Set(['200']));
	t.deepEqual(late.map(caller => statusOf(caller)).filter(status => status !== '200' && status !== '503'), []);
	t.deepEqual([...early, ...late].filter(caller => !isWhole(caller)).map(({response}) => response()), []);
	const refused = late.filter(caller => statusOf(caller) === '503');
	t.log(`${refused.length} of ${late.length} refused`);
	t.true(refused.every(({response}) => /\r\nretry-after: 0/iv.test(response())));
	// A refusal says that the request did not run.
	t.is(target.arrivals().length, early.length + late.length - refused.length);
});

const PROMPT = {'x-model': 'm', 'x-token-count': '100,8', 'x-prompt-prefix': 'aa:50,bb:50'};
/** More events, 50 ms apart, than fit into the grace period. */
const LONG_STREAM = {stream: true, events: 120, gapMs: 50} as const;

for (const [form, endsByClose] of [['in chunks', false], ['without a length', true]] as const) {
	test.serial(`a stream ${form} that outlasts the grace period is never complete for its caller, also where it may be resumed`, async t => {
		const targets = await Promise.all(['m1', 'm2'].map(async id => startWorksTarget({id, endsByClose, ...LONG_STREAM})));
		t.teardown(async () => Promise.all(targets.map(async target => target.close())));
		const router = await startRouterProcess(t, {targets: Object.fromEntries(targets.map(({id, address}) => [id, address]))});
		const calls = ['brief', 'chat'].flatMap(route => Array.from({length: 4}, async (_, index) =>
			callRaw(router.callers, `/${route}/${index}`, {headers: {...PROMPT, 'x-deadline-ms': '8000'}})));
		await until(t, () => targets.reduce((count, target) => count + target.arrivals().length, 0) === calls.length, 'all streams run');
		router.signal('SIGTERM');
		const responses = await Promise.all(calls);
		t.deepEqual(responses.map(({status}) => status), Array.from({length: calls.length}, () => 200));
		t.deepEqual(responses.filter(({isComplete}) => isComplete).map(({body}) => body.split('\n\n').length), []);
		await until(t, router.hasEnded, 'the process has ended');
		t.regex(router.log(), /"reason":"AnswerBroken".*this VM was stopped/v);
		t.notRegex(router.log(), /request repeated/v);
	});
}
