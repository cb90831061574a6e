import {EventEmitter} from 'node:events';
import test from 'ava';
import {silentLog} from '../../src/runtime/observe/log.js';
import {createMetrics} from '../../src/runtime/observe/metrics.js';
import {watchUncaught} from '../../src/runtime/observe/uncaught.js';

const watch = () => {
	const events = new EventEmitter(); // eslint-disable-line unicorn/prefer-event-target
	const metrics = createMetrics();
	const logged: Array<Readonly<Record<string, unknown>>> = [];
	let nowMs = 0;
	const log = {
		...silentLog, error(event: string, fields?: Readonly<Record<string, unknown>>) {
			logged.push({event, ...fields});
		},
	};
	const stopped = watchUncaught({
		log, metrics, clock: {nowMs: () => nowMs}, events,
	});
	return {
		events, metrics, logged, stopped, advance(ms: number) {
			nowMs += ms;
		},
	};
};

test('an uncaught error is logged with its stack and counted, and the process continues', async t => {
	const {events, metrics, logged, stopped} = watch();
	events.emit('uncaughtException', new RangeError('odd message'));
	events.emit('unhandledRejection', 'no error at all');
	const {values} = await metrics.uncaughtErrors.get();
	t.is(values[0]?.value, 2);
	t.like(logged[0], {fault: 'RangeError: odd message'});
	t.regex(String(logged[0]?.stack), /uncaught\.test/v);
	t.is(await Promise.race([stopped.then(() => 'stopped'), Promise.resolve('runs')]), 'runs');
});

test('many uncaught errors stop the process only if they occur within a short time', async t => {
	const {events, stopped, advance} = watch();
	for (let count = 0; count < 100; count++) {
		events.emit('uncaughtException', new Error('now and then'));
		advance(1000);
	}

	t.is(await Promise.race([stopped.then(() => 'stopped'), Promise.resolve('runs')]), 'runs');
	for (let count = 0; count < 20; count++) {
		events.emit('uncaughtException', new Error('again and again'));
	}

	await stopped;
});
