import test from 'ava';
import {LOAD_REPORT_LAG_MS, TargetLimit} from '../../src/core/target/target-limit.js';

const contract = {
	coldLimit: 2, warmLimit: 8, growAfterAnswers: 1, checksFencing: false,
};
const warmAtMs = LOAD_REPORT_LAG_MS + 1;

const report = (instance: string, cold: boolean) => ({
	instance, cold, running: 0, waiting: 0, leaving: false,
});

const answers = (instance: string, answered: number) => ({
	instance, answered, overloaded: 0, failed: 0,
});

/** Creates a limit that has grown with the responses of a warm process instance. */
const grown = (): TargetLimit => {
	const limit = new TargetLimit(contract, 0);
	limit.onAnswers(answers('a', 1), 0);
	limit.onLoad(report('a', false), warmAtMs);
	limit.onAnswers(answers('a', 10), warmAtMs);
	return limit;
};

test('the load report alone resets the limit of a target that restarts while it runs no request', t => {
	const limit = grown();
	t.is(limit.limit, 8);
	limit.onLoad(report('b', true), warmAtMs + 500);
	t.is(limit.limit, 2);
	t.true(limit.isCold);
});

test('a late load report of the previous process instance does not make the new one count as warm', t => {
	const limit = grown();
	limit.onLoad(report('b', true), warmAtMs + 500);
	limit.onLoad(report('a', false), warmAtMs + 600);
	limit.onAnswers(answers('b', 10), warmAtMs + 700);
	t.is(limit.limit, 2);
});
