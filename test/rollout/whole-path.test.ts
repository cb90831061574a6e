/** Roll-outs through complete routers, with a stand-in of the store and targets of two versions. */
import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {until} from '../platform/_platform.js';
import {startFleet, type Fleet} from './_fleet.js';

/** Response time, in milliseconds, at which VMs prefer other targets. */
const SLOW_MS = 60;

const arrivalsOf = (targets: Fleet['next']): number => targets.reduce((sum, target) => sum + target.arrivals().length, 0);
const requestsOf = ({statuses}: Fleet): number => [...statuses().values()].reduce((sum, count) => sum + count, 0);

test('a good version is completed within its time limit, and the old targets get no requests afterwards', async t => {
	const fleet = await startFleet(t);
	fleet.startCallers();
	await delay(500);
	const startMs = Date.now();
	fleet.order('v2');
	await delay(1000);
	for (const target of fleet.next) {
		fleet.announce(target, 'v2');
	}

	await until(t, () => fleet.status()?.state === 'in_progress', 'in progress');
	await until(t, () => fleet.status()?.state === 'completed', 'completed');
	const endMs = Date.now() - startMs;
	// Requests that were sent before the write may arrive a moment later.
	await delay(50);
	const atOld = arrivalsOf(fleet.old);
	await delay(500);
	t.log(`completed after ${endMs} ms; ${JSON.stringify([...fleet.statuses()])}; new targets got ${arrivalsOf(fleet.next)}`);
	t.deepEqual(fleet.status(), {state: 'completed', to: 'v2'});
	t.true(endMs < 12_000);
	t.is(arrivalsOf(fleet.old), atOld);
	t.deepEqual([...fleet.statuses().keys()], [200]);
});

for (const [title, spoil] of [
	['fails a third of its requests', (target: Fleet['next'][number]) => {
		target.setFailureShare(1 / 3);
	}],
	['is many times slower', (target: Fleet['next'][number]) => {
		target.delayResponses(200);
	}],
] as const) {
	test(`a bad version is rolled back within the exposure bound: ${title}`, async t => {
		const fleet = await startFleet(t);
		fleet.startCallers();
		await delay(500);
		const before = requestsOf(fleet);
		fleet.order('v2');
		await delay(1000);
		for (const target of fleet.next) {
			spoil(target);
			fleet.announce(target, 'v2');
		}

		await until(t, () => fleet.status()?.state === 'rolled_back', 'rolled back');
		await delay(300);
		const exposed = arrivalsOf(fleet.next);
		await delay(1000);
		t.log(`exposed ${exposed} of ${requestsOf(fleet) - before}; ${JSON.stringify(fleet.lines.filter(({event}) => event === 'roll-out step').map(({fields}) => `${String(fields.phase)} ${String(fields.reason)}`))}`);
		t.deepEqual(fleet.status(), {state: 'rolled_back', to: 'v2'});
		t.true(exposed <= ((requestsOf(fleet) - before) * 0.1) + 50);
		t.is(arrivalsOf(fleet.next), exposed, 'no request reaches the new version after the roll-back');
	});
}

test('a version without targets is rolled back before the time limit', async t => {
	const fleet = await startFleet(t, {vms: 1});
	fleet.startCallers();
	fleet.order('v2', 6);
	await until(t, () => fleet.status()?.state === 'rolled_back', 'rolled back');
	t.deepEqual([...fleet.statuses().keys()], [200]);
});

test('without exposure bounds in the settings, versions are ignored and no order is carried out', async t => {
	const fleet = await startFleet(t, {vms: 1, hasBounds: false});
	// A VM sends requests to the first of several idle targets, so the old ones are made slow.
	for (const target of fleet.old) {
		target.delayResponses(SLOW_MS);
	}

	fleet.startCallers();
	fleet.order('v2');
	for (const target of fleet.next) {
		fleet.announce(target, 'v2');
	}

	await until(t, () => arrivalsOf(fleet.next) > 20, 'targets of all versions used');
	t.is(fleet.status(), undefined);
	t.is(fleet.store.rowsOf('rollouts').size, 0);
});

test('targets of a new version without an order are used once a read of the operators\' table shows no order', async t => {
	const fleet = await startFleet(t, {vms: 1});
	for (const target of fleet.old) {
		target.delayResponses(SLOW_MS);
	}

	fleet.startCallers();
	for (const target of fleet.next) {
		fleet.announce(target, 'v2');
	}

	await until(t, () => arrivalsOf(fleet.next) > 20, 'targets of all versions used');
	t.is(fleet.status(), undefined);
});
