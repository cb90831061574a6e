import test from 'ava';
import {createWorkCounts} from '../../src/runtime/observe/work-counts.js';

test('processor time counts as standing work only between checks without a request', t => {
	const work = createWorkCounts(500, 0);
	work.measure(504, 250);
	work.noteRequestStart();
	work.noteRead();
	work.measure(520, 500);
	work.noteRequestEnd();
	work.measure(530, 750);
	work.measure(534, 1000);
	t.deepEqual(work.take(), {
		requests: 1, reads: 1, datagrams_in: 0, datagrams_out: 0, rest_used_ms: 8, rest_of_ms: 500, since_start_requests: 1,
	});
});

test('counts start anew with each log line, and requests are also counted since the start', t => {
	const work = createWorkCounts(0, 0);
	work.noteRequestStart();
	work.noteRequestEnd();
	work.noteDatagramReceived();
	work.noteDatagramSent();
	work.take();
	work.noteRequestStart();
	t.deepEqual(work.take(), {
		requests: 1, reads: 0, datagrams_in: 0, datagrams_out: 0, rest_used_ms: 0, rest_of_ms: 0, since_start_requests: 2,
	});
});
