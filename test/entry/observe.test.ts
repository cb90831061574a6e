import test from 'ava';
import * as z from 'zod';
import {createLog} from '../../src/runtime/observe/log.js';
import {grantingScheduler, startTestEntry} from './_entry.js';

test('each log event is one line of JSON with its fields, and events below the log level are left out', t => {
	const lines: string[] = [];
	const log = createLog('info', line => {
		lines.push(line);
	}, {vm: 'vm-1'});
	log.debug('left out');
	log.info('request ended', {request_id: 'r1', retries: 2, text: 'two\nlines'});
	log.error('fault');
	t.true(lines.every(line => line.endsWith('\n') && line.indexOf('\n') === line.length - 1));
	const events = lines.map(line => z.record(z.string(), z.unknown()).parse(JSON.parse(line)));
	t.deepEqual(events.map(({time, ...event}) => [typeof time, event]), [
		['string', {
			level: 'info', event: 'request ended', vm: 'vm-1', request_id: 'r1', retries: 2, text: 'two\nlines',
		}],
		['string', {level: 'error', event: 'fault', vm: 'vm-1'}],
	]);
});

test('a request is logged with the id that its caller received, and refusals are counted by reason', async t => {
	const lines: string[] = [];
	const log = createLog('info', line => {
		lines.push(line);
	});
	const {call, metrics} = await startTestEntry(t, {scheduler: grantingScheduler(() => '127.0.0.1:1'), log});
	const res = await call('/services/ledger/x', {body: 'x', headers: {'x-deadline-ms': '60'}});
	await res.body.dump();
	t.is(res.statusCode, 503);
	t.true(lines.some(line => line.includes(`"request_id":"${String(res.headers['x-request-id'])}"`) && line.includes('"outcome":"refused"') && line.includes('"ran":"no"')));
	const text = await metrics.registry.metrics();
	t.regex(text, /jackdawwood_refusals_total\{reason="TargetUnavailable",not_run="true"\} 1/v);
	t.regex(text, /jackdawwood_retries_total\{reason="not-connected"\} [1-9]/v);
});
