import test from 'ava';
import {TargetSpeed, slowedMs} from '../../src/core/placement/target-speed.js';
import {targetWire} from '../../platform/target-wire.js';
import {
	createRequest, createPlacement, plainService, target, outcomeOf,
} from './_service.js';

test('the fourth figure of a load is read; one that is absent or absurd is left out', t => {
	const figures = ['3,1,8', '3,1,8,250', '3,1,8,', '3,1,8,fast', '3,1,8,-5', '3,1,8,1e9', '3,1,8,NaN', '3,1', '3,1,8,100,7'];
	t.snapshot(figures.map(text => [text, targetWire.load({'x-instance-load': text})]));
});

test('a reported slowdown decays with its age, and older reports and reports out of bounds are ignored', t => {
	const speed = new TargetSpeed();
	t.is(speed.slowdown(0), 1);
	speed.note(250, 1000);
	t.is(speed.slowdown(1000), 2.5);
	t.true(speed.slowdown(1200) < 1.6);
	t.true(speed.slowdown(3000) < 1.01);
	for (const [percent, atMs] of [[undefined, 1001], [0, 1001], [Number.NaN, 1001], [1e6, 1001], [100, 900]] as const) {
		speed.note(percent, atMs);
	}

	t.is(speed.slowdown(1000), 2.5);
	speed.note(900, 9000);
	t.is(speed.slowdown(9000), 4);
});

test('a target that reports to be faster than typical has no advantage, and one report does not cancel the previous report', t => {
	const speed = new TargetSpeed();
	speed.note(40, 1000);
	t.is(speed.slowdown(1000), 1);
	speed.note(300, 2000);
	speed.note(100, 2005);
	t.true(speed.slowdown(2005) > 1.5);
});

test('a slowdown lengthens only the beginning of long work', t => {
	t.is(slowedMs(100, 2.5), 250);
	t.is(slowedMs(1000, 2.5), 1300);
	t.is(slowedMs(1000, 1), 1000);
});

test('a plain target that reports a slowdown is chosen neither by this VM nor by a VM that receives the report, until the report is old', t => {
	const placement = createPlacement({service: plainService});
	for (const id of ['l1', 'l2']) {
		placement.handle({kind: 'target', target: target(id, {service: 'ledger', slots: 6})}, 0);
	}

	const first = (nowMs: number): string => {
		const [effect] = placement.handle({kind: 'ask', request: createRequest('team', nowMs)}, nowMs);
		if (effect?.kind === 'grant') {
			placement.handle({
				kind: 'end', grantId: effect.grantId, target: effect.target.id, result: {kind: 'answered', cost: 0, answerMs: 1},
			}, nowMs);
		}

		return effect ? outcomeOf(effect) : 'none';
	};

	t.is(first(0), 'l1');
	placement.handle({
		kind: 'observe', grantId: 'g', target: 'l1', observation: {
			kind: 'load', load: {
				running: 0, waiting: 0, slots: 6, workPercent: 250,
			},
		},
	}, 100);
	t.is(first(101), 'l2');
	t.deepEqual(placement.knownTargets.takeObservedLoads(150), [{
		target: 'l1', running: 0, waiting: 0, workPercent: 250, ageMs: 50,
	}]);
	placement.handle({
		kind: 'observed-elsewhere', loads: [{
			target: 'l2', running: 0, waiting: 0, workPercent: 400, ageMs: 5,
		}],
	}, 160);
	t.is(first(161), 'l1');
});
