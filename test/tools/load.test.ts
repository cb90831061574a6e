import test, {type ExecutionContext} from 'ava';
import {request} from 'undici';
import {startEngine} from '../../standins/engine/engine.js';
import {engineSettingsSchema} from '../../standins/engine/settings.js';
import {startLedger} from '../../standins/ledger/ledger.js';
import {ledgerSettingsSchema} from '../../standins/ledger/settings.js';
import {type Standin} from '../../standins/shared/types.js';
import {monotonicClock} from '../../src/runtime/monotonic-clock.js';
import {createRandom} from '../../tools/load/random.js';
import {isClean, reportOf} from '../../tools/load/report.js';
import {planRequest} from '../../tools/load/request-plan.js';
import {runLoad} from '../../tools/load/run-load.js';
import {loadSettingsSchema, type LoadSettings} from '../../tools/load/settings.js';
import {dump} from '../standins/_client.js';

const REQUESTS = 10;

const team = {
	name: 'couriers', token: 'secret', concurrency: 2, maxRequests: REQUESTS, mix: [{service: 'tariff', kind: 'chat'}],
};

const settingsFor = (addresses: readonly string[], changes: Readonly<Record<string, unknown>> = {}): LoadSettings => loadSettingsSchema.parse({
	durationMs: 60_000, routers: addresses, targets: addresses, teams: [{...team, ...changes}],
});

const startFastEngine = async (t: ExecutionContext): Promise<Standin> => {
	const engine = await startEngine(engineSettingsSchema.parse({warmAfter: 0, stepMs: 1, promptTokenMs: 0}));
	t.teardown(async () => engine.close());
	return engine;
};

const inject = async (standin: Standin, faults: Readonly<Record<string, unknown>>): Promise<void> =>
	dump(request(`http://${standin.address}/control`, {method: 'POST', body: JSON.stringify(faults)}));

test('the same seed gives the same requests', t => {
	const {teams: [parsed]} = settingsFor(['127.0.0.1:1']);
	const planAll = () => {
		const random = createRandom(7, 1);
		return [1, 2, 3].map(number => planRequest(parsed!, 'run', number, random));
	};

	t.deepEqual(planAll(), planAll());
	t.snapshot(planAll()[0]);
});

test('complete engine responses, plain and streamed, are counted as answered', async t => {
	const engine = await startFastEngine(t);
	const result = await runLoad(settingsFor([engine.address]), monotonicClock);
	t.deepEqual(result.total.faults, []);
	t.true(isClean(result));
	t.is(result.total.asked, REQUESTS);
	t.is(result.total.answered, REQUESTS);
});

test('a response to another request is counted as crossed', async t => {
	const engine = await startFastEngine(t);
	const cfg = settingsFor([engine.address]);
	await runLoad(cfg, monotonicClock);
	await inject(engine, {crossed_answer: true, count: 2});
	const result = await runLoad(cfg, monotonicClock);
	t.is(result.total.crossed, 2);
});

test('a broken stream is counted as lost without a retry, and as answered after a successful one', async t => {
	const engine = await startFastEngine(t);
	const mix = [{service: 'tariff', kind: 'completion', streamed: 1}];
	await inject(engine, {drop_after_tokens: 2});
	const without = await runLoad(settingsFor([engine.address], {mix}), monotonicClock);
	t.is(without.total.lost, 1);
	await inject(engine, {drop_after_tokens: 2});
	const retried = await runLoad(settingsFor([engine.address], {mix, maxRetries: 1}), monotonicClock);
	t.is(retried.total.lost, 0);
	t.is(retried.total.attempts, retried.total.asked + 1);
});

test('a debit that ran twice is found in the record of the ledger', async t => {
	const ledger = await startLedger(ledgerSettingsSchema.parse({warmAfter: 0, serviceMs: 1}));
	t.teardown(async () => ledger.close());
	await inject(ledger, {lose_answer: true});
	// The ledger itself, unlike a router, ignores idempotency keys.
	const cfg = settingsFor([ledger.address], {mix: [{service: 'ledger', kind: 'debit'}], maxRetries: 1});
	const result = await runLoad(cfg, monotonicClock);
	t.is(result.comparison.doubled.length, 1);
	t.false(isClean(result));
	t.like(reportOf(cfg, result), {lost: 0, doubled: 1});
});
