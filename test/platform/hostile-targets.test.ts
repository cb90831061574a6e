import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {
	startPlatform, until, completeStream, type Platform,
} from './_platform.js';

const MODEL_PATH = '/brief/x';
const streamHeaders = {'x-model': 'm', 'x-token-count': '100,8', 'x-prompt-prefix': 'aa:50,bb:50'};

const stream = async ({call}: Platform) => call(MODEL_PATH, {method: 'POST', body: '{}', headers: streamHeaders});
const arrivalsAt = (targets: Platform['models']) => targets.map(target => target.arrivals().length);

test('a target whose response announces that it will stop receives no further requests', async t => {
	const platform = await startPlatform(t);
	const {models} = platform;
	for (const target of models) {
		target.injectFaults('leaving');
	}

	const first = await stream(platform);
	t.is(first.body, completeStream);
	const left = models.findIndex(target => target.arrivals().length === 1);
	models[1 - left]!.injectFaults();
	const before = models[left]!.arrivals().length;
	for (let count = 0; count < 6; count++) {
		await stream(platform); // eslint-disable-line no-await-in-loop
	}

	t.is(models[left]!.arrivals().length, before);
});

test('a new process instance of a target with the same id is used again', async t => {
	const platform = await startPlatform(t);
	const {models, announce} = platform;
	for (const target of models) {
		target.injectFaults('leaving');
	}

	await stream(platform);
	await stream(platform);
	t.deepEqual(arrivalsAt(models), [1, 1]);
	const none = await stream(platform);
	t.is(none.status, 503);
	for (const target of models) {
		announce(target, {born: 2000, sequence: 0});
	}

	await until(t, async () => {
		const {status} = await stream(platform);
		return status === 200;
	}, 'a response of the new process instance');
});

test('a target that asks to back off for a time receives nothing until then, and callers receive a matching Retry-After', async t => {
	const platform = await startPlatform(t);
	const {models} = platform;
	for (const target of models) {
		target.injectFaults('decline-for-seconds');
	}

	const startMs = performance.now();
	const first = await stream(platform);
	t.is(first.status, 503);
	t.true(performance.now() - startMs < 600, 'refused at once');
	t.true(Number(first.headers['retry-after']) >= 0.5 && Number(first.headers['retry-after']) <= 1.5);
	const before = arrivalsAt(models);
	const second = await stream(platform);
	t.is(second.status, 503);
	t.deepEqual(arrivalsAt(models), before);
	await delay(1600);
	const third = await stream(platform);
	t.is(third.body, completeStream);
});

test('the endless body of a rejection is not read to its end: the connection is closed', async t => {
	const platform = await startPlatform(t);
	for (const target of platform.models) {
		target.injectFaults('endless-decline');
	}

	const {status} = await stream(platform);
	t.is(status, 503);
	await until(t, () => platform.models.every(target => target.cancelled() === target.arrivals().length), 'connections closed');
});

for (const fault of ['endless-event', 'endless-drip'] as const) {
	test(`the connection to a target whose event never ends is closed well before the route's timeout: ${fault}`, async t => {
		const platform = await startPlatform(t);
		const {models} = platform;
		for (const target of models) {
			target.injectFaults(fault);
		}

		const startMs = performance.now();
		const answer = stream(platform);
		await until(t, () => models.some(target => target.cancelled() > 0), 'connection closed');
		t.true(performance.now() - startMs < 3000);
		const {status, body} = await answer;
		t.true(status !== 200 || completeStream.startsWith(body));
	});
}
