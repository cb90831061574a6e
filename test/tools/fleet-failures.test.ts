/** What must hold for callers while processes, links, targets and the platform fail. */
import test from 'ava';
import {type Fleet} from '../../tools/fleet/fleet.js';
import {startFleet} from '../../tools/fleet/start-fleet.js';
import {sumOverRouters} from '../../tools/demo/metrics-sum.js';
import {type LoadResult} from '../../tools/load/run-load.js';
import {assertClean, runLoadOn, smallFleet} from './_fleet-run.js';

let fleet: Fleet;

test.before(async () => {
	fleet = await startFleet(smallFleet);
});

test.after.always(async () => {
	await fleet?.close();
});

const injectAtTargets = async (faults: Readonly<Record<string, unknown>>, service?: string): Promise<void> => {
	const targets = fleet.targets.filter(target => service === undefined || target.service === service);
	await Promise.all(targets.map(async ({id}) => fleet.targetControl(id, faults)));
};

/** What came of the model requests that were not answered. */
const unansweredModelRequests = ({results}: LoadResult): readonly string[] => results
	.filter(({plan, last}) => plan.service === 'tariff' && last.kind !== 'answered')
	.map(({last}) => last.kind === 'refused' ? last.reason : last.kind);

test.serial('streams, plain answers and debits of all teams come back whole', async t => {
	const result = await runLoadOn(fleet);
	assertClean(t, result);
	t.is(result.total.answered, result.total.asked);
	t.is(result.comparison.coldViolations, 0);
});

test.serial('streams that break are resumed without loss', async t => {
	const before = await sumOverRouters(fleet, 'jackdawwood_stream_resumes_total');
	const result = await runLoadOn(fleet, {during: async () => injectAtTargets({drop_after_tokens: 3, count: 3}, 'tariff')});
	assertClean(t, result);
	t.is(result.total.answered, result.total.asked);
	t.true(await sumOverRouters(fleet, 'jackdawwood_stream_resumes_total') > before);
});

test.serial('answers that targets cross never reach callers', async t => {
	const before = await sumOverRouters(fleet, 'jackdawwood_dropped_answers_total');
	const result = await runLoadOn(fleet, {during: async () => injectAtTargets({crossed_answer: true, count: 2})});
	assertClean(t, result);
	t.true(await sumOverRouters(fleet, 'jackdawwood_dropped_answers_total') > before);
});

test.serial('a debit whose answer is lost is told as unknown and not run again', async t => {
	const result = await runLoadOn(fleet, {during: async () => injectAtTargets({lose_answer: true, count: 2}, 'ledger')});
	assertClean(t, result);
	t.is(result.total.refusedByReason.OutcomeUnknown, 4);
});

test.serial('data centres that are cut off from each other and the platform go on with model requests', async t => {
	const cut = [
		...fleet.linksBetween(fleet.routersIn('colombo'), fleet.routersIn('gampaha')),
		...fleet.platformLinks(fleet.routersIn('gampaha')),
	];
	await fleet.linkFaults(cut, {cut: true});
	const results = await Promise.all(['colombo', 'gampaha'].map(async dataCentre =>
		runLoadOn(fleet, {routers: fleet.routersIn(dataCentre), durationMs: 3000})));
	await fleet.linkFaults(cut);
	for (const result of results) {
		assertClean(t, result);
		t.deepEqual(unansweredModelRequests(result), []);
	}

	assertClean(t, await runLoadOn(fleet));
});

test.serial('a planned stop of a router cuts no request', async t => {
	const result = await runLoadOn(fleet, {
		async during(answered) {
			await answered(20);
			t.is(await fleet.stop('colombo-vm-1'), 0);
		},
		durationMs: 4000,
	});
	await fleet.platform.putVms([fleet.router('colombo-vm-1')]);
	await fleet.startRouter('colombo-vm-1');
	assertClean(t, result);
	t.is(result.total.retriedByReason.broken, undefined);
});

test.serial('a killed router that comes back empty loses and doubles nothing', async t => {
	const result = await runLoadOn(fleet, {
		async during(answered) {
			await answered(20);
			await fleet.restart('gampaha-vm-2');
		},
		durationMs: 4000,
	});
	assertClean(t, result);
});

test.serial('model requests are answered while the platform hangs, and debits are refused truly', async t => {
	await fleet.platformControl({outage: 'hang'});
	const result = await runLoadOn(fleet, {maxRetries: 0});
	await fleet.platformControl({outage: 'none'});
	assertClean(t, result);
	t.deepEqual(unansweredModelRequests(result), []);
});

test.serial('targets that restart cold get no more than they bear', async t => {
	const before = await runLoadOn(fleet, {durationMs: 500});
	const result = await runLoadOn(fleet, {
		async during(answered) {
			await answered(20);
			await injectAtTargets({restart: true}, 'tariff');
		},
	});
	assertClean(t, result);
	t.is(result.comparison.coldViolations, before.comparison.coldViolations);
});

test.serial('a data centre that is out gets no new work after three seconds', async t => {
	let outMs = 0;
	const result = await runLoadOn(fleet, {
		async during() {
			await fleet.setDataCentre('gampaha', 'out');
			outMs = Date.now();
		},
		durationMs: 5000,
	});
	await fleet.setDataCentre('gampaha', 'in');
	assertClean(t, result);
	const late = fleet.targets.filter(({dataCentre}) => dataCentre === 'gampaha')
		.flatMap(({address}) => result.records.get(address)?.runs ?? [])
		.filter(run => run.start_ms > outMs + 3000);
	t.deepEqual(late, []);
});
