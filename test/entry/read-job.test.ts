import {Buffer} from 'node:buffer';
import test from 'ava';
import fc from 'fast-check';
import {RefusalError} from '../../src/core/errors/refusal-error.js';
import {readCompletion, readPlainCall, type RequestHead} from '../../src/runtime/entry/read-job.js';
import {config} from './_entry.js';

const SEED = 20_261_204;

const head = (headers: Readonly<Record<string, string>>): RequestHead => ({
	requestId: 'r', team: 'couriers', config, method: 'POST', headers, arrivedMs: 0,
});

/** Whether reading returns a job or throws a refusal whose `notRun` is true. */
const isTyped = (read: () => unknown): boolean => {
	try {
		read();
		return true;
	} catch (error) {
		return error instanceof RefusalError && error.notRun;
	}
};

const headers = fc.dictionary(fc.constantFrom('x-deadline-ms', 'x-cost-hint', 'idempotency-key', 'content-type'), fc.string());
const completion = fc.record({
	model: fc.oneof(fc.constantFrom('tariff', 'ledger', '__proto__', 'constructor'), fc.string(), fc.jsonValue()),
	prompt: fc.jsonValue(),
	messages: fc.jsonValue(),
	stream: fc.oneof(fc.boolean(), fc.jsonValue()),
}, {requiredKeys: []});
const body = fc.oneof(fc.string(), fc.json(), completion.map(value => JSON.stringify(value)));

test('any body and headers result in a job or a typed refusal', t => {
	const completions = fc.property(headers, body, (fields, text) =>
		isTyped(() => readCompletion(head(fields), '/v1/completions', Buffer.from(text))));
	const plainCalls = fc.property(headers, fc.string(), fc.string(), (fields, service, path) =>
		isTyped(() => readPlainCall(head(fields), service, path, Buffer.from(''))));
	t.false(fc.check(completions, {seed: SEED, numRuns: 2000}).failed);
	t.false(fc.check(plainCalls, {seed: SEED, numRuns: 1000}).failed);
});

test('the caller\'s token and the router\'s own headers do not reach the target', t => {
	const job = readPlainCall(head({
		authorization: 'Bearer x', 'x-request-id': 'forged', 'x-fencing-epoch': '99', connection: 'close', accept: 'text/plain',
	}), 'ledger', '/debits', Buffer.from('{}'));
	t.deepEqual(job.request.headers, {accept: 'text/plain'});
});
