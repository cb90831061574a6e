/** The configuration tasks of a fleet of 7 VMs in three data centres, with a manual clock. */
import test from 'ava';
import {ConfigConflict, ConfigOutcomeUnknown, ConfigStoreUnavailable} from '../../src/core/config/config-errors-data.js';
import {FleetConfigInvalid} from '../../src/core/errors/errors-data.js';
import {JackdawwoodError} from '../../src/core/errors/jackdawwood-error.js';
import {type Accepted, type Proposal} from '../../src/runtime/config/propose-config.js';
import {FakeFleet} from '../lease/fake-fleet.js';

const dataCentres = {colombo: ['a1', 'a2', 'a3'], galle: ['b1', 'b2'], negombo: ['c1', 'c2']};
const others = ['a1', 'a2', 'a3', 'b1', 'b2'];

const startFleet = async (): Promise<FakeFleet> => {
	const fleet = new FakeFleet({dataCentres, services: []});
	await fleet.run(1000);
	return fleet;
};

const weight = (value: number) => ({teams: {couriers: {weight: value}}});

/** Returns the `JackdawwoodError` that a promise rejects with; undefined for another error or none. */
const errorOf = async (promise: Promise<unknown>): Promise<JackdawwoodError | undefined> => {
	try {
		await promise;
		return undefined;
	} catch (error) {
		return error instanceof JackdawwoodError ? error : undefined;
	}
};

/** Proposes a configuration and advances the fleet's clock meanwhile. */
const propose = async (fleet: FakeFleet, vm: string, proposal: Partial<Proposal>): Promise<Accepted> => {
	const result = fleet.get(vm).config.propose({
		expectedVersion: 0, document: weight(1), operator: 'asha', operationId: `op-${vm}`, ...proposal,
	});
	await Promise.all([result.catch(() => undefined), fleet.run(100)]);
	return result;
};

const activeVersions = (fleet: FakeFleet): readonly number[] => [...fleet.vms.values()].map(vm => vm.config.current()?.version ?? 0);

/** Advances the clock until the version is active on all VMs; returns the milliseconds that it took. */
const runUntilActive = async (fleet: FakeFleet, version: number, limitMs: number): Promise<number> => {
	const startMs = fleet.nowMs;
	while (activeVersions(fleet).some(held => held < version) && fleet.nowMs - startMs < limitMs) {
		await fleet.run(50); // eslint-disable-line no-await-in-loop
	}

	return fleet.nowMs - startMs;
};

test('an accepted version is active on all 7 VMs within 5 s and stays active', async t => {
	const fleet = await startFleet();
	await propose(fleet, 'b1', {});
	const tookMs = await runUntilActive(fleet, 1, 6000);
	t.log(`active on all VMs ${tookMs + 100} ms after the proposal, measured in steps of 50 ms`);
	t.true(tookMs <= 5000);
	await fleet.run(10_000, () => {
		t.true(activeVersions(fleet).every(version => version === 1));
	});
});

test('only one VM of each data centre reads the platform', async t => {
	const fleet = await startFleet();
	await propose(fleet, 'a1', {});
	await runUntilActive(fleet, 1, 5000);
	fleet.platform.reads.clear();
	await fleet.run(20_000);
	t.is(fleet.platform.reads.size, 3);
	t.true([...fleet.platform.reads.values()].every(reads => reads <= 21));
});

test('of two operators racing one gets a conflict that shows the other\'s change', async t => {
	const fleet = await startFleet();
	await propose(fleet, 'a1', {operationId: 'first'});
	await runUntilActive(fleet, 1, 5000);
	const [left, err] = await Promise.all([
		propose(fleet, 'a2', {
			expectedVersion: 1, document: weight(2), operator: 'asha', operationId: 'left',
		}),
		errorOf(propose(fleet, 'b2', {
			expectedVersion: 1, document: weight(3), operator: 'juhan', operationId: 'right',
		})),
	]);
	t.is(left.version, 2);
	t.is(err?.data.name, ConfigConflict.name);
	t.snapshot(err?.message);
	await runUntilActive(fleet, 2, 5000);
	t.is(fleet.get('c1').config.current()?.teams.couriers?.weight, 2);
});

test('a proposal whose write gets no response is accepted and written once', async t => {
	const fleet = await startFleet();
	fleet.platform.setMode('lose_answers');
	const accepted = await propose(fleet, 'a1', {operationId: 'op'});
	t.is(accepted.version, 1);
	t.is(fleet.platform.writes, 1);
	t.like(fleet.platform.row('config', 'version/0000000001')?.value, {operator: 'asha', operation_id: 'op'});
});

test('a proposal repeated with its operation id is not written again', async t => {
	const fleet = await startFleet();
	await propose(fleet, 'a1', {operationId: 'op'});
	const repeated = await propose(fleet, 'c2', {operationId: 'op'});
	t.is(repeated.version, 1);
	t.is(fleet.platform.writes, 1);
});

test('during an outage of the platform a proposal fails and the last version stays active', async t => {
	const fleet = await startFleet();
	await propose(fleet, 'a1', {});
	await runUntilActive(fleet, 1, 5000);
	fleet.platform.setMode('down');
	const err = await errorOf(propose(fleet, 'a2', {expectedVersion: 1, operationId: 'late'}));
	t.is(err?.data.name, ConfigStoreUnavailable.name);
	await fleet.run(30_000);
	t.true(activeVersions(fleet).every(version => version === 1));
});

test('an invalid document is refused with its place', async t => {
	const fleet = await startFleet();
	const err = await errorOf(propose(fleet, 'a1', {document: weight(-1)}));
	t.is(err?.data.name, FleetConfigInvalid.name);
	t.snapshot(err?.message);
});

test('a VM that restarts without data during a platform outage is ready only with its peers\' version', async t => {
	const fleet = await startFleet();
	await propose(fleet, 'a1', {});
	await propose(fleet, 'a1', {expectedVersion: 1, operationId: 'second'});
	await runUntilActive(fleet, 2, 5000);
	fleet.platform.setMode('down');
	fleet.kill('c1');
	fleet.start('c1', 'negombo');
	t.false(fleet.get('c1').config.isReady());
	await fleet.run(3000, () => {
		const {config} = fleet.get('c1');
		t.true(!config.isReady() || config.current()?.version === 2);
	});
	t.true(fleet.get('c1').config.isReady());
});

test('a data centre that was partitioned has the newest version within 5 s of its reconnection', async t => {
	const fleet = await startFleet();
	await propose(fleet, 'a1', {});
	await runUntilActive(fleet, 1, 5000);
	fleet.partition(['c1', 'c2'], others);
	fleet.platform.setMode('down', 'c1');
	fleet.platform.setMode('down', 'c2');
	await propose(fleet, 'a1', {expectedVersion: 1, operationId: 'second'});
	await fleet.run(10_000);
	t.deepEqual(activeVersions(fleet), [2, 2, 2, 2, 2, 1, 1]);
	fleet.heal();
	const tookMs = await runUntilActive(fleet, 2, 6000);
	t.log(`active ${tookMs} ms after the reconnection`);
	t.true(tookMs <= 5000);
});

test('a VM that starts without data uses the snapshot while the tables are rate limited', async t => {
	const fleet = await startFleet();
	await propose(fleet, 'a1', {});
	const alone = new FakeFleet({dataCentres: {colombo: ['a1']}, services: []});
	alone.platform.objects.set('config/current', fleet.platform.objects.get('config/current')!);
	alone.platform.setMode('rate_limited');
	await alone.run(3000);
	t.is(alone.get('a1').config.current()?.version, 1);
});

test('a VM that starts while the newest version is unreadable uses the last valid one before it', async t => {
	const fleet = await startFleet();
	await propose(fleet, 'a1', {});
	await runUntilActive(fleet, 1, 5000);
	const unreadable = {version: 2, teams: {couriers: {weight: 'heavy'}}};
	await fleet.platform.client('newer release').transact('config', {
		operationId: 'newer', operations: [{key: 'current', value: unreadable}],
	});
	await fleet.run(3000);
	t.deepEqual(activeVersions(fleet), [1, 1, 1, 1, 1, 1, 1]);
	fleet.kill('c1');
	fleet.start('c1', 'negombo');
	await fleet.run(3000);
	t.like(fleet.get('c1').config.current(), {version: 1});
	t.like(fleet.get('c1').config.latest(), {version: 2});
	t.true(fleet.get('c1').config.isReady());
});

test('lagging reads do not make a proposal fail with a conflict or activate an older version', async t => {
	const fleet = await startFleet();
	await propose(fleet, 'a1', {});
	await runUntilActive(fleet, 1, 5000);
	fleet.platform.freezeReads();
	const accepted = await propose(fleet, 'b1', {expectedVersion: 1, operationId: 'second'});
	t.is(accepted.version, 2);
	const third = await propose(fleet, 'b1', {expectedVersion: 2, operationId: 'third'});
	t.is(third.version, 3);
	fleet.kill('c1');
	fleet.start('c1', 'negombo');
	await fleet.run(1000, () => {
		const {config} = fleet.get('c1');
		t.true(!config.isReady() || config.current()?.version === 3);
	});
});

test('a proposal whose write cannot be read back fails with an unknown outcome', async t => {
	const fleet = await startFleet();
	const {config} = fleet.get('a1');
	fleet.platform.isSilentAfterWrite = true;
	const err = await errorOf(config.propose({
		expectedVersion: 0, document: weight(1), operator: 'asha', operationId: 'op',
	}));
	t.is(err?.data.name, ConfigOutcomeUnknown.name);
});
