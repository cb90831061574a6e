/** Roll-outs during failures of VMs, links and the store, and changes of the order by operators. */
import test, {type ExecutionContext} from 'ava';
import {Model} from './_model.js';

const ORDER_MS = 1000;
const LIMIT_MS = ORDER_MS + 12_000;
/** Milliseconds after which a VM's last announcement is no longer fresh. */
const STALE_MS = 2500;
const base = {vms: 6, requestsPerS: 250};

/** Starts a fleet in which `v2` is ordered at `ORDER_MS` and its targets appear a second later. */
const startRollout = async (failed: number, seed = 1): Promise<Model> => {
	const model = new Model({...base, seed, failed});
	await model.runUntil(ORDER_MS);
	model.order('v2');
	model.at(ORDER_MS + 1000, () => {
		model.addTarget('n1', 'v2');
		model.addTarget('n2', 'v2');
	});
	return model;
};

const checkCompleted = (t: ExecutionContext, model: Model): void => {
	t.is(model.state?.phase, 'completed');
	t.true(model.endMs() <= LIMIT_MS, `ended at ${model.endMs()}`);
	t.deepEqual(model.violations(), []);
	t.is(model.sentTo('v1', model.endMs() + 1000).length, 0, 'the old version gets no more requests');
};

const checkRolledBack = (t: ExecutionContext, model: Model): void => {
	t.is(model.state?.phase, 'rolled-back');
	t.true(model.endMs() <= LIMIT_MS, `ended at ${model.endMs()}`);
	t.deepEqual(model.violations(), []);
	t.is(model.sentTo('v2', model.endMs() + 1000).length, 0, 'the new version gets no more requests');
};

test('a fleet without faults completes a good version and rolls a bad one back', async t => {
	const good = await startRollout(0);
	await good.runUntil(LIMIT_MS + 2000);
	checkCompleted(t, good);
	const bad = await startRollout(0.3);
	await bad.runUntil(LIMIT_MS + 2000);
	checkRolledBack(t, bad);
});

for (const atMs of [1300, 4000, 8600, 9400]) {
	test(`a roll-out ends in time when the coordinator is killed ${atMs} ms after the order`, async t => {
		const model = await startRollout(0);
		await model.runUntil(ORDER_MS + atMs);
		model.kill(model.coordinator()!);
		await model.runUntil(LIMIT_MS + 3000);
		t.log(`${model.state?.phase}, ${model.writes.at(-1)?.reason}, at ${model.endMs() - ORDER_MS} ms`);
		t.deepEqual(model.violations(), []);
		t.true(model.endMs() <= LIMIT_MS);
	});

	test(`a roll-out ends in time when the coordinator is paused for 4 s, ${atMs} ms after the order`, async t => {
		// A bad version would already be rolled back at the later of these times.
		const model = await startRollout(atMs < 4000 ? 0.3 : 0);
		await model.runUntil(ORDER_MS + atMs);
		model.pause(model.coordinator()!, 4000);
		await model.runUntil(LIMIT_MS + 6000);
		t.log(`${model.state?.phase}, ${model.writes.at(-1)?.reason}, at ${model.endMs() - ORDER_MS} ms`);
		t.deepEqual(model.violations(), []);
		t.true(model.endMs() <= LIMIT_MS);
	});

	test(`a roll-out ends in time when the coordinator cannot reach other VMs from ${atMs} ms after the order on`, async t => {
		const model = await startRollout(0);
		await model.runUntil(ORDER_MS + atMs);
		model.coordinator()!.partition = 1;
		await model.runUntil(LIMIT_MS + 3000);
		t.log(`${model.state?.phase}, ${model.writes.at(-1)?.reason}, at ${model.endMs() - ORDER_MS} ms`);
		t.deepEqual(model.violations(), []);
		t.true(model.endMs() <= LIMIT_MS);
	});

	test(`a roll-out ends in time when the coordinator cannot reach the store from ${atMs} ms after the order on`, async t => {
		const model = await startRollout(0);
		await model.runUntil(ORDER_MS + atMs);
		model.coordinator()!.reachesStore = false;
		await model.runUntil(LIMIT_MS + 3000);
		t.log(`${model.state?.phase}, ${model.writes.at(-1)?.reason}, at ${model.endMs() - ORDER_MS} ms`);
		t.deepEqual(model.violations(), []);
		t.true(model.endMs() <= LIMIT_MS);
	});
}

test('a version stays held back when its coordinator is killed between the hold and the write', async t => {
	const model = await startRollout(0.4);
	await model.runUntil(ORDER_MS + 1900);
	model.fault = 'unavailable';
	await model.runUntil(ORDER_MS + 4500);
	model.kill(model.coordinator()!);
	const heldFromMs = model.nowMs;
	await model.runUntil(ORDER_MS + 6000);
	model.fault = 'well';
	await model.runUntil(LIMIT_MS + 2000);
	checkRolledBack(t, model);
	t.is(model.sentTo('v2', heldFromMs + 1000).length, 0);
});

for (const fault of ['unavailable', 'slow', 'response-lost', 'done-later'] as const) {
	for (const failed of [0, 0.3]) {
		test(`a roll-out ends in time with the store fault ${fault} for 2.5 s and a version that fails ${failed} of its requests`, async t => {
			for (const fromMs of [500, 6500, 8000]) {
				const model = await startRollout(failed); // eslint-disable-line no-await-in-loop
				model.at(ORDER_MS + fromMs, () => {
					model.fault = fault;
				});
				model.at(ORDER_MS + fromMs + 2500, () => {
					model.fault = 'well';
				});
				await model.runUntil(LIMIT_MS + 3000); // eslint-disable-line no-await-in-loop
				t.log(`from ${fromMs} ms: ${model.state?.phase} at ${model.endMs() - ORDER_MS} ms`);
				t.deepEqual(model.violations(), []);
				t.true(model.endMs() <= LIMIT_MS, `${fromMs}: ended at ${model.endMs() - ORDER_MS}`);
			}
		});
	}
}

for (const write of [1, 2, 3, 4, 5]) {
	test(`a roll-out ends in time when the coordinator is killed after write ${write}, before it receives the result`, async t => {
		const model = await startRollout(0);
		model.hooks.onApplied = vm => {
			if (model.writes.length === write) {
				model.kill(vm);
			}
		};

		await model.runUntil(LIMIT_MS + 3000);
		t.log(`${model.state?.phase}, ${model.writes.at(-1)?.reason}, at ${model.endMs() - ORDER_MS} ms`);
		t.deepEqual(model.violations(), []);
		t.true(model.endMs() <= LIMIT_MS);
	});
}

test('two coordinators reach one outcome, and neither overwrites the other\'s row', async t => {
	for (const failed of [0, 0.3]) {
		const model = await startRollout(failed); // eslint-disable-line no-await-in-loop
		// The two halves cannot reach each other, but both reach the store.
		for (const [index, vm] of model.vms.entries()) {
			vm.partition = index % 2;
		}

		await model.runUntil(LIMIT_MS + 3000); // eslint-disable-line no-await-in-loop
		t.log(`${model.state?.phase} at ${model.endMs() - ORDER_MS} ms`);
		t.deepEqual(model.violations(), []);
		t.deepEqual(model.writes.map(({state: {counter}}) => counter), model.writes.map((_, index) => index + 1));
	}
});

test('new targets that appear together with their order get no request before the state row is written, and the roll-out ends as usual', async t => {
	for (const failed of [0, 0.3]) {
		const model = new Model({...base, seed: 3, failed});
		await model.runUntil(ORDER_MS); // eslint-disable-line no-await-in-loop
		model.addTarget('n1', 'v2');
		model.addTarget('n2', 'v2');
		model.order('v2');
		await model.runUntil(LIMIT_MS + 2000); // eslint-disable-line no-await-in-loop
		(failed === 0 ? checkCompleted : checkRolledBack)(t, model);
		t.is(model.sentTo('v2', 0, model.writes[0]!.atMs).length, 0, 'the new version gets no request before the row is written');
	}
});

test('a network partition of half of the VMs leads to one outcome within the exposure bound', async t => {
	for (const failed of [0, 0.3]) {
		const model = await startRollout(failed); // eslint-disable-line no-await-in-loop
		await model.runUntil(ORDER_MS + 3000); // eslint-disable-line no-await-in-loop
		for (const vm of model.vms.slice(0, 3)) {
			vm.partition = 1;
		}

		await model.runUntil(LIMIT_MS + 3000); // eslint-disable-line no-await-in-loop
		t.log(`${model.state?.phase}, ${model.writes.at(-1)?.reason}, at ${model.endMs() - ORDER_MS} ms`);
		t.deepEqual(model.violations(), []);
		t.true(model.endMs() <= LIMIT_MS);
	}
});

test('a roll-out ends in time when all VMs restart in the middle of it', async t => {
	for (const failed of [0, 0.3]) {
		const model = await startRollout(failed); // eslint-disable-line no-await-in-loop
		await model.runUntil(ORDER_MS + 5000); // eslint-disable-line no-await-in-loop
		for (const vm of model.vms) {
			model.kill(vm);
			model.start(vm);
		}

		await model.runUntil(LIMIT_MS + 3000); // eslint-disable-line no-await-in-loop
		t.log(`${model.state?.phase}, ${model.writes.at(-1)?.reason}, at ${model.endMs() - ORDER_MS} ms`);
		t.deepEqual(model.violations(), []);
		t.true(model.endMs() <= LIMIT_MS);
	}
});

test('a VM that restarts after completion sends to the new version only, though the order still exists', async t => {
	const model = await startRollout(0);
	await model.runUntil(LIMIT_MS);
	t.is(model.state?.phase, 'completed');
	for (const vm of model.vms) {
		model.kill(vm);
		model.start(vm);
	}

	const restartMs = model.nowMs;
	await model.runUntil(LIMIT_MS + 2000);
	t.is(model.sentTo('v1', restartMs).length, 0);
	t.true(model.sentTo('v2', restartMs).length > 100);
	t.is(model.writes.at(-1)?.state.phase, 'completed');
});

test('a second order replaces an order whose roll-out has not ended', async t => {
	const model = await startRollout(0);
	await model.runUntil(ORDER_MS + 5000);
	model.order('v3');
	model.addTarget('m1', 'v3');
	await model.runUntil(ORDER_MS + 5000 + STALE_MS);
	const staleMs = model.nowMs;
	await model.runUntil(ORDER_MS + 5000 + 13_000);
	t.deepEqual(model.violations(), []);
	t.is(model.state?.to, 'v3');
	t.is(model.state?.phase, 'completed');
	t.true(model.state?.refused.includes('v2'));
	t.is(model.sentTo('v2', staleMs).length, 0);
});

test('an order back to the old version moves all traffic back before it is completed', async t => {
	const model = await startRollout(0);
	await model.runUntil(ORDER_MS + 8500);
	t.true(model.sentTo('v2').length > 0);
	model.order('v1');
	await model.runUntil(ORDER_MS + 8500 + 8000);
	const end = model.writes.at(-1);
	t.is(end?.state.phase, 'completed');
	t.is(end?.state.to, 'v1');
	t.is(model.sentTo('v2', end?.atMs).length, 0, 'v2 gets no requests once its targets may stop');
});

test('a roll-out is rolled back when its order is removed', async t => {
	const model = await startRollout(0);
	await model.runUntil(ORDER_MS + 5000);
	model.order(undefined);
	await model.runUntil(ORDER_MS + 8000);
	t.is(model.state?.phase, 'rolled-back');
	t.is(model.sentTo('v2', model.endMs() + 1000).length, 0);
});

test('an order removed after completion changes nothing', async t => {
	const model = await startRollout(0);
	await model.runUntil(LIMIT_MS);
	model.order(undefined);
	await model.runUntil(LIMIT_MS + 2000);
	t.is(model.state?.phase, 'completed');
	t.is(model.sentTo('v1', LIMIT_MS).length, 0);
});

test('a version whose targets all crash is rolled back', async t => {
	const model = await startRollout(0);
	await model.runUntil(ORDER_MS + 5000);
	model.removeTargets('v2');
	await model.runUntil(ORDER_MS + 8000);
	t.is(model.state?.phase, 'rolled-back');
	t.true(model.sentTo('v1', ORDER_MS + 5200).length > 100);
});

test('a VM that is added during a roll-out follows it', async t => {
	const model = await startRollout(0);
	await model.runUntil(ORDER_MS + 4000);
	model.addVm();
	await model.runUntil(LIMIT_MS + 2000);
	checkCompleted(t, model);
	t.true(model.sentTo('v2').some(({vm}) => vm === 'vm-6'));
});

test('a VM that resumes from a pause with stale announcements sends nothing to a version that was rolled back during the pause', async t => {
	for (let seed = 1; seed <= 10; seed++) {
		const model = await startRollout(0.4, seed); // eslint-disable-line no-await-in-loop
		await model.runUntil(ORDER_MS + 1500); // eslint-disable-line no-await-in-loop
		const vm = model.vms.find(each => each !== model.coordinator())!;
		model.pause(vm, 6000);
		await model.runUntil(ORDER_MS + 10_000); // eslint-disable-line no-await-in-loop
		t.is(model.state?.phase, 'rolled-back', `seed ${seed}`);
		t.is(model.sentTo('v2', ORDER_MS + 7500).length, 0, `seed ${seed}`);
	}
});

test('a version without an order gets no requests while another order is carried out', async t => {
	const model = await startRollout(0);
	await model.runUntil(ORDER_MS + 3000);
	model.addTarget('m1', 'v3');
	await model.runUntil(LIMIT_MS + 1000);
	t.is(model.sentTo('v3').length, 0);
});

test('random faults: each roll-out has one outcome, stays within the bounds of exposure and roll-back time, and ends after the faults', async t => {
	t.timeout(300_000);
	const outcomes = new Map<string, number>();
	for (let seed = 1; seed <= FAULT_SCHEDULES; seed++) {
		const failed = seed % 2 === 0 ? 0.3 : 0;
		const model = await startRollout(failed, seed); // eslint-disable-line no-await-in-loop
		scheduleFaults(model, seed);
		await model.runUntil(LIMIT_MS + 8000); // eslint-disable-line no-await-in-loop
		const phase = model.state?.phase ?? 'none';
		const key = `${failed === 0 ? 'good' : 'bad'} ${phase}`;
		outcomes.set(key, (outcomes.get(key) ?? 0) + 1);
		t.deepEqual(model.violations(), [], `seed ${seed}`);
		t.true(phase === 'completed' || phase === 'rolled-back', `seed ${seed}: ${phase}`);
	}

	t.log([...outcomes].map(([key, count]) => `${key}: ${count}`).join(', '));
});

/** Number of random schedules of faults. */
const FAULT_SCHEDULES = 40;
const FAULTS_PER_SCHEDULE = 4;

/** Schedules faults of random kinds at random times, which all end before the time limit. */
function scheduleFaults(model: Model, seed: number): void {
	const draw = (index: number): number => ((seed * 7919) + (index * 104_729)) % 9973 / 9973;
	for (let index = 0; index < FAULTS_PER_SCHEDULE; index++) {
		const fromMs = ORDER_MS + (draw(index) * 9000);
		const forMs = 500 + (draw(index + 10) * 3500);
		const vm = model.vms[Math.floor(draw(index + 20) * model.vms.length)]!;
		const kind = Math.floor(draw(index + 30) * 6);
		model.at(fromMs, () => {
			const subject = kind < 3 ? model.coordinator() ?? vm : vm;
			switch (kind) {
				case 0:
				case 3: {
					model.pause(subject, forMs);
					break;
				}

				case 1:
				case 4: {
					model.kill(subject);
					model.at(fromMs + forMs, () => {
						if (!subject.task) {
							model.start(subject);
						}
					});
					break;
				}

				case 2: {
					subject.partition = 1;
					model.at(fromMs + forMs, () => {
						subject.partition = 0;
					});
					break;
				}

				default: {
					model.fault = (['unavailable', 'slow', 'response-lost', 'done-later'] as const)[seed % 4]!;
					model.at(fromMs + forMs, () => {
						model.fault = 'well';
					});
				}
			}
		});
	}
}
