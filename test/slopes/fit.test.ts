import test from 'ava';
import {fitLine, printSeries, toSeries} from '../../tools/slopes/fit.js';
import {runPool} from '../../tools/slopes/pool-load.js';

test('a fit recovers the fixed cost and the slope of a line, and has a large residual for a curve', t => {
	const line = fitLine([1, 10, 100].map(size => ({size, value: 7 + (3 * size)})));
	t.is(Number(line.fixed.toFixed(6)), 7);
	t.is(Number(line.slope.toFixed(6)), 3);
	t.true(line.residual < 1e-9);
	const curve = fitLine([1, 10, 100].map(size => ({size, value: size ** 2})));
	t.true(curve.residual > 0.1);
});

test('a series is printed with its points, fit and residual', t => {
	const series = toSeries({
		name: 'pool/teams', title: 'dispatcher', variable: 'teams', unit: 'us', points: [{size: 1, value: 10}, {size: 2, value: 12, extra: {waiting: 3}}],
	});
	t.snapshot(printSeries(series).join('\n'));
});

test('a simulated pool stays backlogged and starts as many requests again with the same seed', t => {
	const run = () => runPool({
		members: 5, targets: 3, teams: 6, requestsPerMember: 4,
	}, {seed: 1, rounds: 20, planOncePerRound: true});
	const {startsPerRound, waiting} = run();
	t.true(startsPerRound > 1);
	t.true(waiting > 0);
	t.is(run().startsPerRound, startsPerRound);
});
