/** Guards against refused callers that retry at the same time, and against one log line for each of many refusals. */
import test from 'ava';
import {createRefusalSummary} from '../../src/core/admission/refusal-summary.js';
import {retryDelayMs} from '../../src/core/admission/retry-delay.js';

const spread = (refusedShare: number, callerTimeoutMs: number | undefined): readonly number[] =>
	Array.from({length: 100}, (_, index) => retryDelayMs(refusedShare, callerTimeoutMs, () => index / 100));

test('callers that are refused together retry at different times, after 0.05 to 0.5 s', t => {
	const delays = spread(1, 8000);
	t.true(new Set(delays.map(delay => Math.floor(delay / 10))).size > 40);
	t.true(Math.min(...delays) >= 50 && Math.max(...delays) <= 500);
});

test('the retries of a few refused callers are spread over a shorter time', t => {
	t.true(Math.max(...spread(0.05, 8000)) < 150);
});

test('the retry delay is no longer than a third of the time that the caller has left', t => {
	for (const callerTimeoutMs of [30, 150, 600, 900, 1500]) {
		t.true(Math.max(...spread(1, callerTimeoutMs)) <= callerTimeoutMs / 3, `${callerTimeoutMs} ms`);
		t.true(Math.min(...spread(1, callerTimeoutMs)) > 0, `${callerTimeoutMs} ms`);
	}
});

test('refusals of one reason and team become one line a second, with a few ids', t => {
	const summary = createRefusalSummary();
	for (let index = 0; index < 700; index++) {
		summary.add({reason: 'VmOverloaded', team: 'flood', requestId: `r${index}`}, index);
	}

	summary.add({reason: 'VmOverloaded', team: 'small', requestId: 's0'}, 900);
	t.deepEqual(summary.takeDue(999), []);
	t.snapshot(summary.takeDue(1000));
	t.deepEqual(summary.takeDue(1500), []);
	t.snapshot(summary.takeAll(1600));
	t.deepEqual(summary.takeAll(1600), []);
});
