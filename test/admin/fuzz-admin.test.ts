import test from 'ava';
import fc from 'fast-check';
import {request} from 'undici';
import {startFakeRouter, TOKEN} from './fake-router.js';

const body = fc.oneof(
	fc.string({unit: 'binary', maxLength: 60}),
	fc.json({maxDepth: 3}),
	fc.record({text: fc.anything({maxDepth: 2}), operation_id: fc.anything({maxDepth: 1}), dry_run: fc.anything({maxDepth: 1})}).map(value => {
		try {
			return JSON.stringify(value);
		} catch {
			return '{}';
		}
	}),
	fc.record({
		text: fc.oneof(fc.constantFrom('teams', 'create team a', 'change team a set weight 2', 'revert to version 4', 'remove team agents'), fc.string({unit: 'binary'})),
		operation_id: fc.constantFrom('1', '2', '3'),
	}).map(value => JSON.stringify(value)),
);

const call = fc.record({path: fc.constantFrom('/v1/query', '/v1/commands'), body});

test('any body gets a result or a typed error, and never a status of 500 or above', async t => {
	const admin = await startFakeRouter();
	t.teardown(admin.close);
	const statuses = new Set<number>();
	const isTyped = async (sent: {readonly path: string; readonly body: string}): Promise<boolean> => {
		const res = await request(`http://${admin.address}${sent.path}`, {method: 'POST', headers: {authorization: `Bearer ${TOKEN}`}, body: sent.body});
		statuses.add(res.statusCode);
		const response: unknown = await res.body.json();
		return res.statusCode < 500 && typeof response === 'object' && response !== null && (res.statusCode === 200) !== ('error' in response);
	};

	await t.notThrowsAsync(fc.assert(fc.asyncProperty(call, isTyped), {seed: 35, numRuns: 500}));
	t.deepEqual([...statuses].toSorted((left, right) => left - right), [200, 400, 404, 409]);
});
