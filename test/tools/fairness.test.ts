import test from 'ava';
import {
	fairnessGap, maxMinShares, utilisation,
} from '../../tools/load/fairness.js';
import {intersect, joinIntervals} from '../../tools/load/intervals.js';
import {type TeamHistory} from '../../tools/load/service-history.js';

const window = {fromMs: 0, toMs: 100};

const team = (name: string, weight: number, charges: TeamHistory['charges']): TeamHistory =>
	({
		name, weight, charges, waiting: [window], wanted: 1000,
	});

test('the fairness gap is the largest service difference over any subinterval of a common window, in units of the largest request', t => {
	const left = team('left', 1, [10, 20, 30].map(atMs => ({atMs, cost: 5})));
	const right = team('right', 1, [40, 50, 60, 70].map(atMs => ({atMs, cost: 5})));
	t.deepEqual(fairnessGap([left, right], window), {max: 4, p99: 4, windows: 1});
});

test('the fairness gap counts service divided by weight, only while both teams have queued requests', t => {
	const heavy = team('heavy', 2, [{atMs: 10, cost: 10}, {atMs: 12, cost: 10}]);
	const light = team('light', 1, [{atMs: 11, cost: 10}]);
	t.is(fairnessGap([heavy, light], window).max, 1);
	const idle = {...light, waiting: [{fromMs: 50, toMs: 60}]};
	t.is(fairnessGap([heavy, idle], window).max, 0);
});

test('the share that a team does not demand is divided between the others by weight', t => {
	t.deepEqual(maxMinShares(100, [{weight: 1, wanted: 10}, {weight: 1, wanted: 1000}, {weight: 2, wanted: 1000}]), [10, 30, 60]);
});

test('utilisation counts slots only while requests are queued', t => {
	const supply = [{fromMs: 0, toMs: 50, slots: 2}, {fromMs: 50, toMs: 100, slots: 1}];
	const running = [window];
	t.is(utilisation(running, supply, [{fromMs: 40, toMs: 60}]), 20 / 30);
	t.is(utilisation(running, supply.slice(0, 1), [{fromMs: 40, toMs: 60}]), 10 / 20);
});

test('touching intervals are joined, and the intersection of two sets has only their common intervals', t => {
	const joined = joinIntervals([{fromMs: 5, toMs: 9}, {fromMs: 0, toMs: 3}, {fromMs: 3, toMs: 4}, {fromMs: 7, toMs: 7}]);
	t.deepEqual(joined, [{fromMs: 0, toMs: 4}, {fromMs: 5, toMs: 9}]);
	t.deepEqual(intersect(joined, [{fromMs: 2, toMs: 6}]), [{fromMs: 2, toMs: 4}, {fromMs: 5, toMs: 6}]);
});
