/** Guards against signals that end a router at once: repeated ones, and those that come while it starts or stops. */
import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {startWorksTarget} from '../../standins/works/works-target.js';
import {startRouterProcess} from '../memory/_router-process.js';
import {until} from './_platform.js';
import {callRaw} from './_raw-call.js';

/** Milliseconds that a target takes for a request. The grace period of the test's settings is 2 s. */
const RUN_MS = 900;
/** Milliseconds between two signals. */
const GAP_MS = 100;
const signals = ['SIGTERM', 'SIGINT', 'SIGHUP'] as const;

for (const first of ['SIGTERM', 'SIGINT'] as const) {
	test.serial(`signals that follow ${first} within the grace period cut no request`, async t => {
		const target = await startWorksTarget({id: 'l1', stream: false});
		t.teardown(async () => target.close());
		target.delayResponses(RUN_MS);
		const router = await startRouterProcess(t, {targets: {l1: target.address}});
		const calls = Array.from({length: 5}, async (_, index) => callRaw(router.callers, `/debit/${index}`));
		await until(t, () => target.arrivals().length === calls.length, 'all requests run');
		for (const signal of [first, ...signals, ...signals]) {
			router.signal(signal);
			await delay(GAP_MS); // eslint-disable-line no-await-in-loop
		}

		const responses = await Promise.all(calls);
		t.deepEqual(responses.map(({status, isComplete}) => ({status, isComplete})), responses.map(() => ({status: 200, isComplete: true})));
		await until(t, router.hasEnded, 'the process has ended');
		t.regex(router.log(), /"event":"stopped"/v);
	});
}

test.serial('SIGHUP does not end a router that starts or is ready', async t => {
	const target = await startWorksTarget({id: 'l1', stream: false});
	t.teardown(async () => target.close());
	const router = await startRouterProcess(t, {
		targets: {l1: target.address}, async whileStarting(signal) {
			for (let count = 0; count < 5; count++) {
				signal('SIGHUP');
				await delay(30); // eslint-disable-line no-await-in-loop
			}
		},
	});
	router.signal('SIGHUP');
	const {status} = await callRaw(router.callers, '/debit/x');
	t.is(status, 200);
	t.false(router.hasEnded());
	await until(t, () => router.log().includes('settings read again'), 'the settings are read again');
});

test.serial('a stop signal while a router starts ends it in an orderly way', async t => {
	const router = await startRouterProcess(t, {
		targets: {}, mayEnd: true, async whileStarting(signal) {
			for (const name of [...signals, ...signals]) {
				signal(name);
				await delay(30); // eslint-disable-line no-await-in-loop
			}
		},
	});
	await until(t, router.hasEnded, 'the process has ended');
	t.regex(router.log(), /"event":"stopped"/v);
});
