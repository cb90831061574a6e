/** Runs the lease tasks of a few VMs under kills, network partitions, pauses and platform outages, on a manual clock. */
import test, {type ExecutionContext} from 'ava';
import {FakeFleet} from './fake-fleet.js';

const service = 'tariff';
const dataCentre = 'colombo';
const settleMs = 8000;

const startFleet = async (ids: readonly string[]): Promise<FakeFleet> => {
	const fleet = new FakeFleet({dataCentres: {[dataCentre]: ids}, services: [service]});
	await fleet.run(6000);
	return fleet;
};

const holderOf = (t: ExecutionContext, fleet: FakeFleet): {readonly vm: string; readonly epoch: number} => {
	const holders = fleet.holders(service, dataCentre);
	t.is(holders.length, 1);
	return holders[0]!;
};

/** Runs the fleet and checks after each step that at most one lease is valid and that epochs do not decrease. Returns the longest time without a valid lease. */
const runCheckingHolder = async (t: ExecutionContext, fleet: FakeFleet, durationMs: number): Promise<number> => {
	let vacantSinceMs = fleet.nowMs;
	let longestMs = 0;
	let lastEpoch = 0;
	await fleet.run(durationMs, () => {
		const holders = fleet.holders(service, dataCentre);
		if (holders.length > 1) {
			t.fail(`several valid leases at ${fleet.nowMs}: ${JSON.stringify(holders)}`);
		}

		const epoch = holders[0]?.epoch ?? lastEpoch;
		if (epoch < lastEpoch) {
			t.fail(`epoch ${epoch} after ${lastEpoch}`);
		}

		lastEpoch = epoch;
		vacantSinceMs = holders.length === 1 ? fleet.nowMs : vacantSinceMs;
		longestMs = Math.max(longestMs, fleet.nowMs - vacantSinceMs);
	});
	return longestMs;
};

const othersOf = (fleet: FakeFleet, vm: string): readonly string[] => [...fleet.vms.keys()].filter(id => id !== vm);

test('one VM becomes holder of a pool and all follow it', async t => {
	const fleet = await startFleet(['a', 'b', 'c']);
	const holder = holderOf(t, fleet);
	t.is(holder.epoch, 1);
	for (const vm of fleet.vms.values()) {
		t.deepEqual(vm.lease.holderOf(service, dataCentre), holder);
	}
});

for (const ids of [['a', 'b', 'c'], ['a', 'b']]) {
	test(`a killed holder among ${ids.length} VMs is succeeded at a higher epoch`, async t => {
		const fleet = await startFleet(ids);
		const before = holderOf(t, fleet);
		fleet.kill(before.vm);
		const vacantMs = await runCheckingHolder(t, fleet, settleMs);
		t.log(`no holder for ${vacantMs} ms`);
		const after = holderOf(t, fleet);
		t.not(after.vm, before.vm);
		t.true(after.epoch > before.epoch);
		t.true(vacantMs <= 6000);
	});

	test(`a leaving holder among ${ids.length} VMs hands its lease over within a second`, async t => {
		const fleet = await startFleet(ids);
		const before = holderOf(t, fleet);
		fleet.get(before.vm).membership.leave();
		fleet.get(before.vm).lease.leave();
		const vacantMs = await runCheckingHolder(t, fleet, settleMs);
		t.log(`no holder for ${vacantMs} ms`);
		const after = holderOf(t, fleet);
		t.not(after.vm, before.vm);
		t.is(after.epoch, before.epoch + 1);
		t.true(vacantMs <= 1000);
	});
}

test('the lease of a paused holder expires by its own clock and does not become valid again at its epoch', async t => {
	const fleet = await startFleet(['a', 'b', 'c']);
	const before = holderOf(t, fleet);
	fleet.get(before.vm).status.isPaused = true;
	await runCheckingHolder(t, fleet, settleMs);
	const after = holderOf(t, fleet);
	t.not(after.vm, before.vm);
	fleet.get(before.vm).status.isPaused = false;
	await runCheckingHolder(t, fleet, settleMs);
	t.deepEqual(holderOf(t, fleet), after);
});

test('a holder keeps its lease without the platform while a majority confirms it', async t => {
	const fleet = await startFleet(['a', 'b', 'c']);
	const before = holderOf(t, fleet);
	fleet.platform.setMode('down');
	t.is(await runCheckingHolder(t, fleet, 60_000), 0);
	t.deepEqual(holderOf(t, fleet), before);
});

test('a holder killed during a platform outage is succeeded by a VM that a majority confirms, and the row is written after the outage', async t => {
	const fleet = await startFleet(['a', 'b', 'c']);
	const before = holderOf(t, fleet);
	fleet.platform.setMode('down');
	await fleet.run(5000);
	fleet.kill(before.vm);
	const vacantMs = await runCheckingHolder(t, fleet, 15_000);
	t.log(`no holder for ${vacantMs} ms`);
	const after = holderOf(t, fleet);
	t.true(after.epoch > before.epoch);
	t.like(fleet.platform.row('leases', `${service}@${dataCentre}`)?.value, {holder: before.vm, epoch: before.epoch});
	fleet.platform.setMode('up');
	t.is(await runCheckingHolder(t, fleet, settleMs), 0);
	t.like(fleet.platform.row('leases', `${service}@${dataCentre}`)?.value, {holder: after.vm, epoch: after.epoch});
});

test('exactly half of the VMs can neither keep nor claim a lease without the platform', async t => {
	const fleet = await startFleet(['a', 'b']);
	const before = holderOf(t, fleet);
	fleet.platform.setMode('down');
	fleet.partition(['a'], ['b']);
	await runCheckingHolder(t, fleet, 20_000);
	t.deepEqual(fleet.holders(service, dataCentre), []);
	fleet.heal();
	fleet.platform.setMode('up');
	await runCheckingHolder(t, fleet, settleMs);
	t.true(holderOf(t, fleet).epoch > before.epoch);
});

test('with the platform either side of a partition of two VMs may hold the lease, one at a time', async t => {
	const fleet = await startFleet(['a', 'b']);
	const before = holderOf(t, fleet);
	fleet.partition(['a'], ['b']);
	t.is(await runCheckingHolder(t, fleet, 30_000), 0);
	t.deepEqual(holderOf(t, fleet), before);
	fleet.platform.setMode('down', before.vm);
	await runCheckingHolder(t, fleet, 15_000);
	t.not(holderOf(t, fleet).vm, before.vm);
});

test('a holder partitioned from its data centre loses its lease, though it reaches the platform', async t => {
	const fleet = await startFleet(['a', 'b', 'c']);
	const before = holderOf(t, fleet);
	fleet.partition([before.vm], othersOf(fleet, before.vm));
	await runCheckingHolder(t, fleet, 20_000);
	t.not(holderOf(t, fleet).vm, before.vm);
});

test('a VM that restarts without state does not disturb the holder', async t => {
	const fleet = await startFleet(['a', 'b', 'c']);
	const before = holderOf(t, fleet);
	const [other] = othersOf(fleet, before.vm);
	fleet.kill(other!);
	fleet.start(other!, dataCentre);
	t.is(await runCheckingHolder(t, fleet, 20_000), 0);
	t.deepEqual(fleet.get(other!).lease.holderOf(service, dataCentre), holderOf(t, fleet));
});

test('a holder that restarts without state claims at a higher epoch', async t => {
	const fleet = await startFleet(['a', 'b', 'c']);
	const before = holderOf(t, fleet);
	fleet.kill(before.vm);
	fleet.start(before.vm, dataCentre);
	await runCheckingHolder(t, fleet, 15_000);
	t.true(holderOf(t, fleet).epoch > before.epoch);
});

for (const which of ['holder', 'follower'] as const) {
	test(`of 2 VMs the ${which} is killed in a platform outage and restarts without state: the pool gets a holder again`, async t => {
		const fleet = await startFleet(['a', 'b']);
		const before = holderOf(t, fleet);
		fleet.platform.setMode('down');
		await fleet.run(3000);
		const killed = which === 'holder' ? before.vm : othersOf(fleet, before.vm)[0]!;
		fleet.kill(killed);
		await runCheckingHolder(t, fleet, 6000);
		t.deepEqual(fleet.holders(service, dataCentre), []);
		fleet.start(killed, dataCentre);
		const vacantMs = await runCheckingHolder(t, fleet, 20_000);
		t.log(`held again ${vacantMs} ms after the restart`);
		t.true(holderOf(t, fleet).epoch > before.epoch);
		t.true(vacantMs <= 10_000);
	});
}

test('a lease whose writes take effect without a response is renewed', async t => {
	const fleet = await startFleet(['a', 'b']);
	const before = holderOf(t, fleet);
	fleet.platform.setMode('lose_answers');
	fleet.kill(othersOf(fleet, before.vm)[0]!);
	t.is(await runCheckingHolder(t, fleet, 20_000), 0);
	t.deepEqual(holderOf(t, fleet), before);
});

test('a single VM holds the lease even without the platform, but after a pause only with the platform', async t => {
	const fleet = await startFleet(['a']);
	fleet.platform.setMode('down');
	t.is(await runCheckingHolder(t, fleet, 20_000), 0);
	fleet.platform.setMode('up');
	fleet.get('a').status.isPaused = true;
	await fleet.run(5000);
	t.deepEqual(fleet.holders(service, dataCentre), []);
	fleet.get('a').status.isPaused = false;
	await runCheckingHolder(t, fleet, 3000);
	t.is(holderOf(t, fleet).epoch, 2);
});

test('pools move to their preferred VMs after a rolling restart', async t => {
	const services = ['a1', 'b2', 'c3', 'd4', 'e5', 'f6', 'g7', 'h8'];
	const fleet = new FakeFleet({dataCentres: {[dataCentre]: ['a', 'b', 'c']}, services});
	await fleet.run(6000);
	const spread = (): readonly string[] => services.map(name => fleet.holders(name, dataCentre)[0]?.vm ?? '');
	const before = spread();
	for (const vm of ['a', 'b']) {
		fleet.kill(vm);
		await fleet.run(9000); // eslint-disable-line no-await-in-loop
		fleet.start(vm, dataCentre);
		await fleet.run(4000); // eslint-disable-line no-await-in-loop
	}

	t.notDeepEqual(spread(), before);
	await fleet.run(20_000);
	t.deepEqual(spread(), before);
	t.true(new Set(before).size > 1);
});

test('in a large fleet gateways forward holders to other data centres, and dispatchers link to each other', async t => {
	const dataCentres = ['colombo', 'galle', 'negombo'];
	const idsOf = (name: string): readonly string[] => Array.from({length: 12}, (_, index) => `${name}-${index}`);
	const fleet = new FakeFleet({dataCentres: Object.fromEntries(dataCentres.map(name => [name, idsOf(name)])), services: [service]});
	await fleet.run(9000);
	const holders = dataCentres.map(name => fleet.holders(service, name)[0]);
	for (const vm of fleet.vms.values()) {
		t.deepEqual(dataCentres.map(name => vm.lease.holderOf(service, name)), holders);
	}

	const [colombo, galle] = holders.map(holder => holder!.vm);
	t.true(fleet.get(colombo!).membership.linkPeers().some(({id}) => id === galle));
	const links = [...fleet.vms.values()].map(vm => vm.membership.linkPeers().length);
	t.true(Math.max(...links) <= 11 + 4 + 2);
});
