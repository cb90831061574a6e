import test from 'ava';
import {MIN_SOUND_ANSWER_MS, Quarantine} from '../../src/core/quarantine/quarantine.js';
import {type QuarantineEffect, type QuarantineReport} from '../../src/core/quarantine/types.js';

const TEAM = 'couriers';
const HEARING_MS = 800;
const pass = {kind: 'pass'} as const;
const never = (): boolean => false;
const always = (): boolean => true;

let requests = 0;

/** Ends a process under requests with the given parts, seen by this VM. */
const end = (quarantine: Quarantine, target: string, prompts: ReadonlyArray<readonly string[]>, nowMs: number): readonly QuarantineEffect[] => [
	...prompts.flatMap(parts => {
		requests++;
		return quarantine.handle({
			kind: 'broke', requestId: `r${requests}`, parts, target, bornMs: 1,
		}, nowMs);
	}),
	...quarantine.handle({kind: 'unreachable', target, bornMs: 1}, nowMs),
];

const condemnedIn = (effects: readonly QuarantineEffect[]): readonly string[] => effects.flatMap(effect => effect.kind === 'condemned' ? effect.part : []);

/** Returns a quarantine that has condemned `bad` at 3000 ms. */
const withVerdict = (): Quarantine => {
	const quarantine = new Quarantine('vm-1');
	quarantine.handle({kind: 'answered', team: TEAM, parts: ['first', 'sound']}, 0);
	for (const [index, target] of ['a', 'b', 'c'].entries()) {
		end(quarantine, target, [['first', 'bad'], ['first', 'sound']], (index + 1) * 1000);
	}

	return quarantine;
};

test('a part that three processes ended under is condemned, and neither the first part nor a sound companion is', t => {
	const quarantine = withVerdict();
	t.deepEqual(quarantine.condemned, ['bad']);
	t.like(quarantine.judge(['first', 'bad'], never, 3000), {kind: 'refuse', part: 'bad'});
	t.deepEqual(quarantine.judge(['first', 'sound'], never, 3000), pass);
});

test('a process that many requests broke under, as several VMs saw, counts once', t => {
	const quarantine = new Quarantine('vm-1');
	end(quarantine, 'a', Array.from({length: 9}, () => ['bad']), 1000);
	const other = new Quarantine('vm-2');
	end(other, 'a', [['bad'], ['bad']], 1100);
	quarantine.handle({kind: 'reported', from: 'vm-2', report: other.report(1200)}, 1200);
	end(quarantine, 'b', [['bad']], 2000);
	t.deepEqual(quarantine.condemned, []);
	t.deepEqual(condemnedIn(end(quarantine, 'c', [['bad']], 3000)), ['bad']);
});

test('one request that is repeated at three processes does not suffice', t => {
	const quarantine = new Quarantine('vm-1');
	for (const [index, target] of ['a', 'b', 'c', 'd'].entries()) {
		quarantine.handle({
			kind: 'broke', requestId: 'same', parts: ['part'], target, bornMs: 1,
		}, index * 1000);
		quarantine.handle({kind: 'unreachable', target, bornMs: 1}, index * 1000);
	}

	t.deepEqual(quarantine.condemned, []);
});

test('VMs that saw one end each condemn the part together', t => {
	const vms = ['vm-1', 'vm-2', 'vm-3'].map(name => new Quarantine(name));
	const exchange = (nowMs: number): void => {
		const reports = vms.map(vm => vm.report(nowMs));
		for (const [to, vm] of vms.entries()) {
			for (const [from, report] of reports.entries()) {
				if (from !== to) {
					vm.handle({kind: 'reported', from: `vm-${from + 1}`, report}, nowMs);
				}
			}
		}
	};

	for (const [index, vm] of vms.entries()) {
		const target = `t${index}`;
		end(vm, target, [['first', 'bad'], ['first', `own-${index}`]], 1000 * (index + 1));
		for (const other of vms) {
			other.handle({kind: 'entry-gone', target, bornMs: 1}, (1000 * (index + 1)) + 50);
		}

		exchange((1000 * (index + 1)) + 100);
	}

	exchange(4000);
	// No request was answered, so the first part was in every end as well, in more requests.
	t.deepEqual(vms.map(vm => vm.condemned), [['bad'], ['bad'], ['bad']]);
});

test('a forged report condemns nothing by itself', t => {
	const quarantine = new Quarantine('vm-1');
	const forged: QuarantineReport = {
		ends: ['a', 'b', 'c', 'd', 'e'].map((target, index) => ({
			target, bornMs: 1, ageMs: index * 1000, observers: ['vm-9'], suspects: [{requestHash: index, parts: ['sound']}],
		})),
		sound: [],
		verdicts: [{
			part: 'sound', decidedBy: 'vm-9', ageMs: 100, seenAgeMs: 0, checks: 0, ends: 5,
		}],
	};
	for (let nowMs = 10_000; nowMs < 20_000; nowMs += 100) {
		quarantine.handle({kind: 'reported', from: 'vm-9', report: forged}, nowMs);
	}

	t.deepEqual(quarantine.condemned, []);
	t.deepEqual(quarantine.judge(['sound'], never, 20_000), pass);
});

test('a reset of connections is refuted by the next response of the process', t => {
	const quarantine = new Quarantine('vm-1');
	for (const [index, target] of ['a', 'b', 'c', 'd'].entries()) {
		end(quarantine, target, [['new']], index * 1000);
		quarantine.handle({
			kind: 'alive', target, bornMs: 1, sentMs: (index * 1000) + 100,
		}, (index * 1000) + 200);
	}

	t.deepEqual(quarantine.condemned, []);
	t.deepEqual(quarantine.report(5000).ends, []);
});

test('processes that end together count as one, and not against a part that few of them ran', t => {
	const quarantine = new Quarantine('vm-1');
	for (let event = 0; event < 4; event++) {
		for (const [index, target] of ['a', 'b', 'c', 'd'].entries()) {
			end(quarantine, `${target}${event}`, [index === 0 ? ['new'] : [`other-${event}-${index}`]], (event * 5000) + (index * 20));
		}
	}

	t.deepEqual(quarantine.condemned, []);
});

test('a part that other VMs answered is not condemned, as their reports arrive before the verdict', t => {
	const [quarantine, other] = [new Quarantine('vm-1'), new Quarantine('vm-2')];
	other.handle({kind: 'answered', team: TEAM, parts: ['rare']}, 0);
	for (const [index, target] of ['a', 'b', 'c'].entries()) {
		const nowMs = 1000 + (index * 200);
		end(quarantine, target, [['rare']], nowMs);
	}

	t.deepEqual(quarantine.condemned, []);
	other.handle({kind: 'reported', from: 'vm-1', report: quarantine.report(1500)}, 1500);
	quarantine.handle({kind: 'reported', from: 'vm-2', report: other.report(1550)}, 1550);
	quarantine.handle({kind: 'tick'}, 1000 + (2 * HEARING_MS));
	t.deepEqual(quarantine.condemned, []);
});

test('a wrong verdict ends with the first check, and a right one costs two checks in all', t => {
	const wrong = withVerdict();
	t.is(wrong.judge(['bad'], always, 15_000).kind, 'refuse');
	t.is(wrong.judge(['bad'], never, 70_000).kind, 'refuse');
	t.deepEqual(wrong.judge(['bad'], always, 70_000), {kind: 'check', part: 'bad', checks: 1});
	t.is(wrong.judge(['bad'], always, 70_100).kind, 'refuse');
	t.deepEqual(wrong.handle({kind: 'answered', team: TEAM, parts: ['bad']}, 71_000), [{
		kind: 'lifted', part: 'bad', reason: 'answered', isOwn: true,
	}]);
	t.deepEqual(wrong.judge(['bad'], never, 71_100), pass);

	const right = withVerdict();
	let checks = 0;
	for (let nowMs = 4000; nowMs < 86_400_000; nowMs += 10_000) {
		if (right.judge(['bad'], always, nowMs).kind === 'check') {
			checks++;
			end(right, `checked-${checks}`, [['first', 'bad']], nowMs + 200);
		}

		right.handle({kind: 'tick'}, nowMs + 300);
	}

	t.is(checks, 2);
	t.deepEqual(right.condemned, ['bad']);
});

test('a verdict ends when its requests have ceased or an operator lifts it, and the old evidence does not renew it', t => {
	const ceased = withVerdict();
	ceased.handle({kind: 'tick'}, 500_000);
	t.deepEqual(ceased.condemned, ['bad']);
	t.deepEqual(ceased.handle({kind: 'tick'}, 700_000), [{
		kind: 'lifted', part: 'bad', reason: 'no-requests', isOwn: false,
	}]);

	const lifted = withVerdict();
	t.deepEqual(lifted.handle({kind: 'lift', part: 'bad'}, 4000), [{
		kind: 'lifted', part: 'bad', reason: 'operator', isOwn: true,
	}]);
	end(lifted, 'd', [['first', 'bad']], 6000);
	t.deepEqual(lifted.condemned, []);
});

test('a VM that starts empty knows verdicts from the store, or from the reports of two VMs', t => {
	const fresh = new Quarantine('vm-2');
	fresh.handle({kind: 'stored', verdicts: [{part: 'bad', checks: 1}]}, 0);
	t.is(fresh.judge(['bad'], never, 10).kind, 'refuse');

	const told = new Quarantine('vm-3');
	const {verdicts} = withVerdict().report(20_000);
	told.handle({kind: 'reported', from: 'vm-1', report: {ends: [], sound: [], verdicts}}, 20_000);
	t.is(told.judge(['bad'], never, 20_000).kind, 'pass');
	told.handle({kind: 'reported', from: 'vm-4', report: {ends: [], sound: [], verdicts}}, 20_100);
	t.is(told.judge(['bad'], never, 20_100).kind, 'refuse');
});

test('a team that makes up parts displaces neither the sound parts of others nor certain evidence', t => {
	const quarantine = new Quarantine('vm-1');
	quarantine.handle({kind: 'answered', team: TEAM, parts: ['first', 'sound']}, 0);
	end(quarantine, 'a', [['first', 'bad']], 1000);
	end(quarantine, 'b', [['first', 'bad']], 2000);
	for (let index = 0; index < 20_000; index++) {
		quarantine.handle({kind: 'answered', team: 'noisy', parts: [`made-up-${index}`]}, 2000 + index);
	}

	t.deepEqual(condemnedIn(end(quarantine, 'c', [['first', 'bad'], ['first', 'sound']], 30_000)), ['bad']);
	t.true(JSON.stringify(quarantine.report(30_000)).length < 10_000);
});

test('requests are sent where they were before while nothing has ended, and one target gets those with a suspected part', t => {
	const quarantine = new Quarantine('vm-1');
	t.is(quarantine.suspectedPart(['first', 'bad'], 0), undefined);
	quarantine.handle({kind: 'answered', team: TEAM, parts: ['first']}, 0);
	end(quarantine, 'a', [['first', 'bad']], 1000);
	t.is(quarantine.suspectedPart(['first', 'bad'], 1100), 'bad');
	t.is(quarantine.suspectedPart(['first', 'other'], 1100), undefined);
	quarantine.handle({kind: 'answered', team: TEAM, parts: ['first', 'bad']}, 1100 + MIN_SOUND_ANSWER_MS);
	t.is(quarantine.suspectedPart(['first', 'bad'], 3000), undefined);
	t.deepEqual(quarantine.report(20_000).ends, []);
});

test('a stream that ends with its connection clears its request only once the process responds again', t => {
	const quarantine = new Quarantine('vm-1');
	const close = (target: string, part: string, nowMs: number): void => {
		requests++;
		quarantine.handle({
			kind: 'closed', requestId: `r${requests}`, team: TEAM, parts: [part], target, bornMs: 1,
		}, nowMs);
	};

	for (const [index, target] of ['a', 'b', 'c'].entries()) {
		const nowMs = index * 1000;
		close(target, 'sound', nowMs);
		quarantine.handle({
			kind: 'alive', target, bornMs: 1, sentMs: nowMs + 10,
		}, nowMs + 50);
		close(target, 'bad', nowMs + 90);
		quarantine.handle({kind: 'unreachable', target, bornMs: 1}, nowMs + 100);
	}

	t.deepEqual(quarantine.condemned, ['bad']);
});

test('connections that were reset well before their process ended are no evidence of its end', t => {
	const quarantine = new Quarantine('vm-1');
	const other = new Quarantine('vm-2');
	for (const [index, target] of ['a', 'b', 'c'].entries()) {
		requests++;
		quarantine.handle({
			kind: 'broke', requestId: `r${requests}`, parts: ['rare'], target, bornMs: 1,
		}, index * 1000);
		other.handle({kind: 'reported', from: 'vm-1', report: quarantine.report(index * 1000)}, index * 1000);
	}

	// All three processes end together, under requests with other parts.
	for (const target of ['a', 'b', 'c']) {
		for (const vm of [quarantine, other]) {
			end(vm, target, [['young']], 5000);
		}
	}

	for (let nowMs = 5000; nowMs < 8000; nowMs += 100) {
		other.handle({kind: 'reported', from: 'vm-1', report: quarantine.report(nowMs)}, nowMs);
		quarantine.handle({kind: 'reported', from: 'vm-2', report: other.report(nowMs)}, nowMs);
	}

	t.deepEqual([quarantine.condemned, other.condemned], [[], []]);
	t.is(quarantine.judge(['rare'], never, 8000).kind, 'pass');
});

test('parts that two ends are blamed on are let through one after the other, so that the guilty one is found', t => {
	const quarantine = new Quarantine('vm-1');
	end(quarantine, 'a', [['bad'], ['companion']], 1000);
	end(quarantine, 'b', [['bad'], ['companion']], 1500);
	const passesAt = (part: string): number => {
		let nowMs = 1500;
		while (quarantine.judge([part], never, nowMs).kind !== 'pass') {
			nowMs += 10;
		}

		return nowMs;
	};

	const times = [passesAt('bad'), passesAt('companion')].toSorted((a, b) => a - b);
	t.deepEqual(times, [1500 + HEARING_MS, 1500 + (2 * HEARING_MS)]);
	end(quarantine, 'c', [['bad']], 1500 + (3 * HEARING_MS));
	t.deepEqual(quarantine.condemned, ['bad']);
	t.is(quarantine.judge(['companion'], never, 1510 + (3 * HEARING_MS)).kind, 'pass');
});

test('a VM that knows a blamed part to be sound says so at a bounded rate, however many VMs blame the part', t => {
	const quarantine = new Quarantine('vm-1');
	quarantine.handle({kind: 'answered', team: TEAM, parts: ['sound']}, 0);
	const report: QuarantineReport = {
		ends: [{
			target: 'a', bornMs: 1, ageMs: 0, observers: ['vm-2', 'vm-3'], suspects: [{requestHash: 1, parts: ['sound']}],
		}],
		sound: [],
		verdicts: [],
	};
	const replies: string[] = [];
	for (let nowMs = 10; nowMs < 1010; nowMs += 10) {
		for (let vm = 2; vm < 60; vm += 3) {
			replies.push(...quarantine.handle({kind: 'reported', from: `vm-${vm}`, report}, nowMs).flatMap(effect => effect.kind === 'reply' ? effect.to : []));
		}
	}

	t.is(replies.length, 10);
	t.is(new Set(replies).size, 10, 'to a VM once');
});
