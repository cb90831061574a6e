import test from 'ava';
import fc from 'fast-check';
import {createLog} from '../../src/runtime/observe/log.js';
import {KEY, startPlatform} from './_platform.js';

// eslint-disable-next-line require-unicode-regexp -- fast-check knows no flag v
const secret = fc.stringMatching(/^[a-z\d]{16}$/);
const requests = fc.record({
	path: fc.constantFrom('/brief/1', '/chat/1', '/debit/1', '/look/1', '/nowhere/1'),
	fault: fc.constantFrom(undefined, 'decline', 'error', 'reset', 'break-stream', 'other-process', 'crossed-decline'),
	key: fc.option(secret),
	body: secret,
	query: secret,
	header: secret,
});

test('no key, header, query or body is logged, whatever the outcome of a request', async t => {
	const lines: string[] = [];
	const log = createLog('debug', line => {
		lines.push(line);
	});
	const {call, models, ledgers} = await startPlatform(t, log);
	const holds = fc.asyncProperty(requests, async ({path, fault, key, body, query, header}) => {
		lines.length = 0;
		if (fault !== undefined) {
			for (const target of [...models, ...ledgers]) {
				target.injectFaults(fault);
			}
		}

		await call(`${path}?token=${query}`, {method: 'POST', body, headers: {'x-api-key': key ?? KEY, 'x-custom': header}});
		const text = lines.join('');
		return lines.length > 0 && [key ?? KEY, body, query, header].every(word => !text.includes(word));
	});
	await t.notThrowsAsync(async () => fc.assert(holds, {seed: 11, numRuns: 60}));
});
