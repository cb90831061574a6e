import test from 'ava';
import {ORDINARY_PRECEDENCE} from '../../src/core/placement/start-limits.js';
import {rejectFields} from '../../src/runtime/routing/placement-fields.js';
import {createRequest, prompt} from '../placement/_service.js';

const rejected = (changes: Partial<Parameters<typeof rejectFields>[1]>) => rejectFields('tariff', {
	kind: 'reject', request: {...createRequest('team', 100), requestId: 'r1'}, reason: 'no-turn', retryAfterMs: 412.6, precedence: {...ORDINARY_PRECEDENCE, givesWay: true}, teamFigures: {team: 'team', usage: 1200.4, shareUsage: 900.2}, effort: {attempts: 3, lineMs: 210.4}, ...changes,
}, 120);

test('the log fields of a refused request have its position in the queue', t => {
	t.like(rejected({
		queue: {
			tier: 'late', position: 12, costAhead: 3400.4, costPerMs: 1.5,
		},
	}), {
		tier: 'late', position: 12, cost_ahead: 3400, drain_per_s: 1500, reason: 'no-turn', retry_after_ms: 413, waited_ms: 20,
	});
});

test('the log fields have the usage of the team and that beyond which it yields, if there is one', t => {
	t.like(rejected({}), {
		team: 'team', team_use: 1200, share_use: 900, gives_way: true,
	});
	t.false('share_use' in rejected({teamFigures: {team: 'team', usage: 1, shareUsage: Infinity}}));
});

test('the log fields have no drain rate while it is unknown, and no queue fields if the request was not queued', t => {
	const fields = rejected({
		queue: {
			tier: 'in-time', position: 0, costAhead: 0, costPerMs: undefined,
		},
	});
	t.false('drain_per_s' in fields);
	t.false('tier' in rejected({}));
});

test('the log fields have the size of the prompt how often a reservation was requested for it, and its time in line', t => {
	t.like(rejected({request: createRequest('team', 100, {prompt: prompt('subject', 6610)})}), {prompt_tokens: 6610, attempts: 3, line_ms: 210});
	t.false('attempts' in rejected({}));
});
