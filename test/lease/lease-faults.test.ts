/** Runs the lease tasks of one data centre under random faults, and checks that at most one lease is valid and that epochs never decrease. */
import process from 'node:process';
import test from 'ava';
import fc from 'fast-check';
import {FakeFleet} from './fake-fleet.js';
import {type PlatformMode} from './fake-platform.js';

const service = 'tariff';
const dataCentre = 'colombo';
const seed = Number(process.env.FAULTS_SEED ?? 1);
const numRuns = Number(process.env.FAULTS_RUNS ?? 15);

type Fault =
	| {readonly kind: 'kill' | 'start' | 'pause' | 'resume' | 'leave' | 'cut'; readonly vm: string}
	| {readonly kind: 'heal'}
	| {readonly kind: 'platform'; readonly mode: PlatformMode; readonly client: string};

type Step = {readonly fault: Fault; readonly afterMs: number};

const vmOf = (ids: readonly string[]) => fc.constantFrom(...ids);

const faultOf = (ids: readonly string[]) => fc.oneof(
	fc.record({kind: fc.constantFrom('kill', 'start', 'start', 'pause', 'resume', 'resume', 'leave', 'cut'), vm: vmOf(ids)}),
	fc.constant({kind: 'heal'} as const),
	fc.record({
		kind: fc.constant('platform'), mode: fc.constantFrom<PlatformMode>('up', 'up', 'down', 'lose_answers'), client: vmOf(['*', ...ids]),
	}),
) as fc.Arbitrary<Fault>;

const scheduleOf = (ids: readonly string[]) => fc.array(
	fc.record({fault: faultOf(ids), afterMs: fc.integer({min: 0, max: 6000})}),
	{minLength: 4, maxLength: 14},
);

const inject = (fleet: FakeFleet, ids: readonly string[], fault: Fault): void => {
	if (fault.kind === 'heal') {
		fleet.heal();
		return;
	}

	if (fault.kind === 'platform') {
		fleet.platform.setMode(fault.mode, fault.client);
		return;
	}

	const vm = fleet.get(fault.vm);
	if (fault.kind === 'start') {
		if (vm.status.isDead) {
			fleet.start(vm.id, dataCentre);
		}

		return;
	}

	if (vm.status.isDead) {
		return;
	}

	switch (fault.kind) {
		case 'kill': {
			fleet.kill(vm.id);
			break;
		}

		case 'pause': {
			vm.status.isPaused = true;
			break;
		}

		case 'resume': {
			vm.status.isPaused = false;
			break;
		}

		case 'leave': {
			vm.membership.leave();
			vm.lease.leave();
			break;
		}

		case 'cut': {
			fleet.partition([vm.id], ids.filter(id => id !== vm.id));
			break;
		}
	}
};

/** Runs a schedule of faults. Returns a description of the first moment with two valid leases or a decreasing epoch, if any. */
const runSchedule = async (ids: readonly string[], schedule: readonly Step[]): Promise<string | undefined> => {
	const fleet = new FakeFleet({dataCentres: {[dataCentre]: ids}, services: [service]});
	let violation: string | undefined;
	let lastEpoch = 0;
	const check = (): void => {
		const holders = fleet.holders(service, dataCentre);
		const epochs = holders.map(({epoch}) => epoch);
		if (holders.length > 1 || epochs.some(epoch => epoch < lastEpoch)) {
			violation ??= `${fleet.nowMs} ms, after epoch ${lastEpoch}: ${JSON.stringify(holders)}`;
		}

		lastEpoch = Math.max(lastEpoch, ...epochs);
	};

	await fleet.run(5000, check);
	for (const step of schedule) {
		inject(fleet, ids, step.fault);
		await fleet.run(step.afterMs, check); // eslint-disable-line no-await-in-loop
	}

	return violation;
};

for (const ids of [['a', 'b'], ['a', 'b', 'c'], ['a', 'b', 'c', 'd']]) {
	test(`at most one valid lease among ${ids.length} VMs under random faults`, async t => {
		const property = fc.asyncProperty(scheduleOf(ids), async schedule => {
			const violation = await runSchedule(ids, schedule);
			if (violation !== undefined) {
				throw new RangeError(violation);
			}
		});
		const result = await fc.check(property, {seed, numRuns});
		t.log(`seed ${seed}, ${result.numRuns} schedules`);
		t.is(result.counterexample && JSON.stringify(result.counterexample), null);
	});
}
