import test from 'ava';
import {compareRecords, type TargetRecord} from '../../tools/load/target-records.js';
import {type RequestResult, type TimedAttempt} from '../../tools/load/types.js';

const record = (runs: ReadonlyArray<readonly [requestId: string, businessId: string]>): TargetRecord => ({
	instance: 'ledger-1', cold: false, cold_violations: 0, cold_violations_unwarned: 0, falls: 0, overloads: 0, dropped: 0,
	runs: runs.map(([requestId, businessId]) => ({
		request_id: requestId, business_id: businessId, team: 'couriers', instance: 'ledger-1', start_ms: 1, end_ms: 2, cost: 3, outcome: 'answered',
	})),
});

const refused = (requestId: string, notRun: boolean): TimedAttempt => ({
	kind: 'refused', requestId, notRun, reason: 'NoTarget', retryAfterMs: 0, startMs: 0, endMs: 1,
});

const debit = (nonce: string, last: TimedAttempt): RequestResult => ({
	plan: {
		team: 'couriers', service: 'ledger', kind: 'debit', nonce, method: 'POST', path: '', body: '', headers: {},
		streamed: false, wanted: {nonce, tokens: 0}, deadlineMs: 1, cost: 3,
	},
	attempts: [last], last, startMs: 0, endMs: 1,
});

test('a "not run" refusal is reported as false if a target executed the request', t => {
	const results = [debit('d1', refused('r1', true)), debit('d2', refused('r2', true)), debit('d3', refused('r3', false))];
	t.deepEqual(compareRecords([record([['r1', 'd1'], ['r3', 'd3']])], results).falseNotRun, ['r1']);
});

test('a debit that two targets executed is reported as doubled, an answered debit that no target executed as a phantom', t => {
	const answered: TimedAttempt = {
		kind: 'answered', requestId: 'r1', cost: 3, startMs: 0, endMs: 1,
	};
	const {doubled, phantom, servedByTeam} = compareRecords([record([['r1', 'd1']]), record([['r2', 'd1']])], [debit('d1', answered), debit('d2', answered)]);
	t.deepEqual([doubled, phantom, servedByTeam], [['d1'], ['d2'], {couriers: 6}]);
});
