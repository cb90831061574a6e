import {once} from 'node:events';
import {connect} from 'node:net';
import {text as readText} from 'node:stream/consumers';
import test from 'ava';
import * as z from 'zod';
import {type Scheduler} from '../../src/core/dispatch/types.js';
import {RefusalError} from '../../src/core/errors/refusal-error.js';
import {DeadlineUnreachable} from '../../src/core/errors/refusals-data.js';
import {
	AGENTS_TOKEN, grantingScheduler, startTestEntry, until,
} from './_entry.js';

const refusalSchema = z.object({error: z.looseObject({name: z.string(), request_id: z.string()})});

/** Replaces the request id, which differs in each run, by whether there is one. */
const withoutRequestId = (json: unknown) => {
	const {request_id: requestId, ...error} = refusalSchema.parse(json).error;
	return {...error, has_request_id: requestId !== ''};
};

const never = async (): Promise<never> => new Promise(() => {
	// Neither resolves nor rejects.
});

const unreachableAddress = () => '127.0.0.1:1';

/** A scheduler that neither grants nor refuses any request. */
const neverGrantingScheduler: Scheduler = {
	submit: () => ({granted: never(), withdraw: () => undefined}),
	isValid: () => true,
	end: () => undefined,
};

const raw = async (address: string, bytes: string): Promise<string> => {
	const [host = '', port] = address.split(':');
	const socket = connect({host, port: Number(port)});
	await once(socket, 'connect');
	socket.write(bytes);
	return readText(socket);
};

test('each bad request gets its refusal, says that nothing ran, and leaves the entry serving', async t => {
	const scheduler = grantingScheduler(unreachableAddress);
	const {call} = await startTestEntry(t, {scheduler});
	const completion = {model: 'tariff', prompt: 'x'};
	const responses = await Promise.all([
		call('/v1/completions', {body: completion, headers: {authorization: 'Bearer wrong'}}),
		call('/v1/completions', {body: completion, headers: {authorization: 'Basic x'}}),
		call('/v1/completions', {body: '{"model": '}),
		call('/v1/completions', {body: {prompt: 'x'}}),
		call('/v1/completions', {body: {model: 'ledger', prompt: 'x'}}),
		call('/v1/completions', {body: {model: '__proto__', prompt: 'x'}}),
		call('/v1/completions', {body: completion, headers: {'x-deadline-ms': 'soon'}}),
		call('/v1/completions', {body: completion, headers: {'x-deadline-ms': '0'}}),
		call('/services/ledger/debits', {body: {}, headers: {'idempotency-key': 'k'.repeat(300)}}),
		call('/services/absent/debits', {body: {}}),
		call('/v2/anything', {body: {}}),
		call('/v1/completions', {body: {...completion, prompt: 'x'.repeat(20_000)}}),
	]);
	t.snapshot(await Promise.all(responses.map(async res => [res.statusCode, withoutRequestId(await res.body.json())])));
	t.true(responses.every(res => typeof res.headers['x-request-id'] === 'string'));
	t.is(scheduler.requests(), 0);
});

test('a request that is not HTTP, has too large headers or arrives too slowly is refused with that reason', async t => {
	const {entry} = await startTestEntry(t, {scheduler: neverGrantingScheduler});
	const [nonsense, headers, slowHead, slowBody] = await Promise.all([
		raw(entry.address, 'what is this\r\n\r\n'),
		raw(entry.address, `GET / HTTP/1.1\r\nx: ${'y'.repeat(5000)}\r\n\r\n`),
		raw(entry.address, 'POST /v1/completions HTTP/1.1\r\nhost: x\r\n'),
		raw(entry.address, 'POST /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer token-of-couriers\r\ncontent-length: 20\r\n\r\nhalf'),
	]);
	t.regex(nonsense, /^HTTP\/1.1 400 .*BadRequest/sv);
	t.regex(headers, /^HTTP\/1.1 431 .*HeadersTooLarge/sv);
	t.regex(slowHead, /^HTTP\/1.1 408 .*ReadTimeout/sv);
	t.regex(slowBody, /^HTTP\/1.1 408 .*ReadTimeout.*"not_run":true/sv);
});

test('a team beyond its queue limit is refused at once, another team is not', async t => {
	const {call, metrics} = await startTestEntry(t, {scheduler: neverGrantingScheduler});
	const abort = new AbortController();
	const wait = async (headers = {}) => call('/v1/completions', {body: {model: 'tariff', prompt: 'x'}, headers, signal: abort.signal});
	const untilOpen = async (count: number) => until(async () => {
		const {values: [open]} = await metrics.openRequests.get();
		return open?.value === count;
	});

	const waiting = [wait(), wait(), wait()];
	await untilOpen(3);
	const res = await wait();
	t.is(res.statusCode, 429);
	t.true(Number(res.headers['retry-after']) >= 1);
	t.like(await res.body.json(), {error: {name: 'QueueFull', not_run: true}});
	waiting.push(wait({authorization: `Bearer ${AGENTS_TOKEN}`}));
	await untilOpen(4);
	abort.abort();
	await Promise.allSettled(waiting);
	await untilOpen(0);
});

test('a team beyond its limit of open requests is refused before its body is read', async t => {
	const limits = {
		bodyBytes: 100, headerBytes: 4000, readTimeoutMs: 400, connectionsPerTeam: 1,
	};
	const {call, metrics} = await startTestEntry(t, {scheduler: neverGrantingScheduler, limits});
	const abort = new AbortController();
	const waiting = call('/v1/completions', {body: {model: 'tariff', prompt: 'x'}, signal: abort.signal});
	await until(async () => {
		const {values: [open]} = await metrics.openRequests.get();
		return open?.value === 1;
	});
	const res = await call('/v1/completions', {body: 'x'.repeat(10_000)});
	t.is(res.statusCode, 429);
	t.like(await res.body.json(), {error: {name: 'TooManyRequests', not_run: true}});
	abort.abort();
	await Promise.allSettled([waiting]);
});

test('the scheduler\'s refusal goes to the caller at once, with the time to come back', async t => {
	const scheduler: Scheduler = {
		...neverGrantingScheduler,
		submit: () => ({granted: Promise.reject(new RefusalError(DeadlineUnreachable, {waitMs: 4200}, {retryAfterMs: 4200})), withdraw: () => undefined}),
	};
	const {call, count} = await startTestEntry(t, {scheduler});
	const res = await call('/v1/completions', {body: {model: 'tariff', prompt: 'x'}});
	t.is(res.headers['retry-after'], '5');
	t.snapshot([res.statusCode, withoutRequestId(await res.body.json())]);
	t.is(await count('refusals', {reason: 'DeadlineUnreachable', not_run: 'true'}), 1);
});

test('an exception in the scheduler ends one request and not the process', async t => {
	const scheduler: Scheduler = {
		...neverGrantingScheduler,
		submit() {
			throw new TypeError('broken');
		},
	};
	const {call} = await startTestEntry(t, {scheduler});
	const res = await call('/v1/completions', {body: {model: 'tariff', prompt: 'x'}});
	t.is(res.statusCode, 500);
	t.like(await res.body.json(), {error: {name: 'InternalFault', not_run: true}});
});

test('without a configuration every request is refused before execution', async t => {
	const {call} = await startTestEntry(t, {scheduler: neverGrantingScheduler, config: () => undefined});
	const res = await call('/v1/completions', {body: {model: 'tariff', prompt: 'x'}});
	t.is(res.statusCode, 503);
	t.like(await res.body.json(), {error: {name: 'NotReady', not_run: true}});
});
