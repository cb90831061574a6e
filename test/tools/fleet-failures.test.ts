/** Guarantees to callers while processes, links, targets and the platform fail. */
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

/** Returns the refusal reason, or else the kind of outcome, of each model request that was not answered. */
const unansweredModelRequests = ({results}: LoadResult): readonly string[] => results
	.filter(({plan, last}) => plan.service === 'tariff' && last.kind !== 'answered')
	.map(({last}) => last.kind === 'refused' ? last.reason : last.kind);

test.serial('all teams get complete responses to streamed, plain and debit requests', async t => {
	const result = await runLoadOn(fleet);
	assertClean(t, result);
	t.is(result.total.answered, result.total.asked);
	t.is(result.comparison.coldViolations, 0);
});

test.serial('broken streams are resumed without losing or repeating a token', async t => {
	const before = await sumOverRouters(fleet, 'jackdawwood_stream_resumes_total');
	const result = await runLoadOn(fleet, {during: async () => injectAtTargets({drop_after_tokens: 3, count: 3}, 'tariff')});
	assertClean(t, result);
	t.is(result.total.answered, result.total.asked);
	t.true(await sumOverRouters(fleet, 'jackdawwood_stream_resumes_total') > before);
});

test.serial('a response that a target sends to the wrong request never reaches a caller', async t => {
	const before = await sumOverRouters(fleet, 'jackdawwood_dropped_answers_total');
	const result = await runLoadOn(fleet, {during: async () => injectAtTargets({crossed_answer: true, count: 2})});
	assertClean(t, result);
	t.true(await sumOverRouters(fleet, 'jackdawwood_dropped_answers_total') > before);
});

test.serial('a debit whose response is lost is refused as OutcomeUnknown and not executed again', async t => {
	const result = await runLoadOn(fleet, {during: async () => injectAtTargets({lose_answer: true, count: 2}, 'ledger')});
	assertClean(t, result);
	t.is(result.total.refusedByReason.OutcomeUnknown, 4);
});

test.serial('partitioned data centres go on answering model requests, also the one without the platform', async t => {
	const cut = [
		...fleet.linksBetween(fleet.routersIn('colombo'), fleet.routersIn('gampaha')),
		...fleet.platformLinks(fleet.routersIn('gampaha')),
	];
	await fleet.setLinkFaults(cut, {cut: true});
	const results = await Promise.all(['colombo', 'gampaha'].map(async dataCentre =>
		runLoadOn(fleet, {routers: fleet.routersIn(dataCentre), durationMs: 3000})));
	await fleet.setLinkFaults(cut);
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

test.serial('a router that is killed and restarts without its state loses no response and executes no debit twice', async t => {
	const result = await runLoadOn(fleet, {
		async during(answered) {
			await answered(20);
			await fleet.restart('gampaha-vm-2');
		},
		durationMs: 4000,
	});
	assertClean(t, result);
});

test.serial('while the platform hangs, model requests are answered and debits that are refused as not run did not execute', async t => {
	await fleet.platformControl({outage: 'hang'});
	const result = await runLoadOn(fleet, {maxRetries: 0});
	await fleet.platformControl({outage: 'none'});
	assertClean(t, result);
	t.deepEqual(unansweredModelRequests(result), []);
});

test.serial('targets that restart cold get no more concurrent requests than their cold limit', async t => {
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

test.serial('a data centre that was taken out of service gets no new requests after three seconds', async t => {
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
