import test from 'ava';
import {createCostEstimator} from '../../src/core/admission/cost-estimator.js';
import {countDeparture, retryAfterMs, type DrainRate} from '../../src/core/admission/drain-rate.js';
import {headerCost, usageCost} from '../../src/core/attempt/cost.js';
import {createRetryBudget} from '../../src/core/attempt/retry-budget.js';

const NEAR = 0.5;

test('without hints, the estimated cost moves from the initial cost to the observed mean, and the first hint has little weight', t => {
	const estimator = createCostEstimator();
	const estimate = (hint?: number) => estimator.estimate('couriers', 'tariff', {initial: 10, max: 1000, ...(hint !== undefined && {hint})});
	t.is(estimate(), 10);
	t.is(estimate(90), 30);
	for (let end = 0; end < 100; end++) {
		estimator.observe('couriers', 'tariff', 50);
	}

	t.true(Math.abs(estimate() - 48.5) < NEAR);
	t.true(estimate(5000) > 50 && estimate(5000) < 300);
	t.is(estimator.estimate('couriers', 'tariff', {initial: 10, max: 20}), 20);
	t.is(estimator.estimate('agents', 'tariff', {initial: 10, max: 20}), 10);
});

test('cost hints that are wrong by a constant factor are corrected and used, but hints unrelated to the cost are not used', t => {
	const estimator = createCostEstimator();
	for (let end = 0; end < 200; end++) {
		const cost = end % 2 === 0 ? 20 : 100;
		estimator.observe('steady', 'tariff', cost, cost * 8);
		estimator.observe('useless', 'tariff', cost, end % 4 < 2 ? 10 : 900);
	}

	const estimate = (team: string, hint: number) => estimator.estimate(team, 'tariff', {initial: 10, max: 1000, hint});
	t.true(Math.abs(estimate('steady', 160) - 20) < 8);
	t.true(Math.abs(estimate('steady', 800) - 100) < 8);
	t.true(estimate('useless', 900) < 90);
});

test('the retry delay follows from the rate at which the queue drains', t => {
	let rate: DrainRate | undefined;
	t.is(retryAfterMs(rate, 5, 0), 1000);
	for (let nowMs = 0; nowMs <= 60_000; nowMs += 100) {
		rate = countDeparture(rate, nowMs);
	}

	const forHundred = retryAfterMs(rate, 100, 60_000);
	t.true(forHundred > 9000 && forHundred < 11_000);
	t.true(retryAfterMs(rate, 100, 120_000) === 60_000);
});

test('retries are bounded to a share of new requests, plus one a second', t => {
	const budget = createRetryBudget();
	const takeAll = (nowMs: number) => {
		let taken = 0;
		while (budget.tryWithdraw(nowMs)) {
			taken++;
		}

		return taken;
	};

	t.is(takeAll(0), 20);
	for (let request = 0; request < 100; request++) {
		budget.deposit();
	}

	t.true([9, 10].includes(takeAll(0)));
	t.is(takeAll(3000), 3);
});

test('the actual cost is read from the token counts or from the header; an invalid header counts as one unit', t => {
	t.is(usageCost({prompt_tokens: 30, completion_tokens: 7}), 10);
	t.deepEqual(['2.5', undefined, 'x', '-1', 'Infinity'].map(text => headerCost(text)), [2.5, 1, 1, 1, 1]);
});
