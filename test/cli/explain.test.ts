import test from 'ava';
import {runInTest} from './fake-io.js';

const line = (time: number, event: string, fields: Readonly<Record<string, unknown>> = {}, vm = 'edge-1') =>
	JSON.stringify({
		time: new Date(Date.UTC(2026, 0, 1, 0, 0, 0, time)).toISOString(), level: 'info', event, vm, ...fields,
	});

const logs = [
	`   9.2000 edge-1 ${line(9200, 'request ended', {request_id: 'r1', outcome: 'broken', target: 't1'})}`,
	line(9190, 'request refused', {
		request_id: 'r1', reason: 'AnswerBroken', not_run: false, target: 't1',
	}),
	line(9180, 'call broke', {
		request_id: 'r1', target: 't1', fault: 'read ECONNRESET', events: 4,
	}),
	line(8000, 'request placed', {
		request_id: 'r1', target: 't1', predicted_ms: 80, heartbeat_age_ms: 900,
	}),
	line(8500, 'request placed', {request_id: 'r2', target: 't1', predicted_ms: 80}),
	line(9000, 'target unreachable', {target: 't1'}),
	line(9001, 'target unreachable', {target: 't2'}),
	line(9002, 'target unreachable', {target: 't1'}, 'edge-2'),
	line(7000, 'configuration in force', {version: 7}),
	line(100, 'configuration in force', {version: 3}),
	'not a log line',
	'{"half": ',
];

test('a request is explained by its own lines and what its VM came to believe meanwhile', async t => {
	t.snapshot(await runInTest(['explain', 'r1'], {piped: logs}));
	t.snapshot(await runInTest(['explain', 'r1', '--json'], {piped: logs}));
});

test('explain fails with a typed error when no log line names the request', async t => {
	const {exitCode, errors} = await runInTest(['explain', 'r9'], {piped: logs});
	t.not(exitCode, 0);
	t.regex(errors.join('\n'), /None of 10 log lines names request r9/v);
});

test('explain without a request id fails', async t => {
	const {exitCode} = await runInTest(['explain'], {piped: logs});
	t.not(exitCode, 0);
});
