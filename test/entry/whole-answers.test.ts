import {once} from 'node:events';
import {createServer} from 'node:http';
import {connect} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {startEngine} from '../../standins/engine/engine.js';
import {engineSettingsSchema} from '../../standins/engine/settings.js';
import {outputText} from '../../standins/engine/tokens.js';
import {clientOf, dump, recordOf} from '../standins/_client.js';
import {
	grantingScheduler, startTestEntry, testLimits, until,
} from './_entry.js';

const TOKENS = 40;
const wanted = {nonce: 'ab12', tokens: TOKENS};
const body = {model: 'tariff', prompt: `tariff nonce=ab12 tokens=${TOKENS}`, stream: true};

const withEngine = async (t: ExecutionContext, settings: Readonly<Record<string, unknown>> = {}, limits = testLimits) => {
	const engine = await startEngine(engineSettingsSchema.parse({stepMs: 1, warmAfter: 0, ...settings}));
	const control = clientOf(t, engine);
	const scheduler = grantingScheduler(() => engine.address);
	return {control, scheduler, ...await startTestEntry(t, {scheduler, limits})};
};

const textOf = (stream: string) => [...stream.matchAll(/"text":"(?<token>[^"]*)"/gv)].map(match => match.groups?.token).join('');
const isComplete = (stream: string) => textOf(stream) === outputText(wanted) && stream.endsWith('data: [DONE]\n\n');

test('a stream that breaks between target and router is resumed and arrives complete', async t => {
	const {call, control, scheduler, count} = await withEngine(t);
	await dump(control('POST', '/control', {drop_after_tokens: 7}));
	const res = await call('/v1/completions', {body});
	t.true(isComplete(await res.body.text()));
	t.is(await count('streamResumes', {result: 'resumed'}), 1);
	t.like(scheduler.ends, [{kind: 'answered', cost: TOKENS + 0.3}]);
});

test('a stream that breaks between target and caller is cut if there is no router', async t => {
	const {control} = await withEngine(t);
	await dump(control('POST', '/control', {drop_after_tokens: 7}));
	const res = await control('POST', '/v1/completions', body);
	await t.throwsAsync(res.body.text());
});

test('a stream whose engine restarts ends with an error event and without the end mark', async t => {
	const {call, control, scheduler} = await withEngine(t, {stepMs: 4});
	const res = await call('/v1/completions', {body});
	await once(res.body, 'readable');
	await dump(control('POST', '/control', {restart: true}));
	const text = await res.body.text();
	t.false(text.includes('[DONE]'));
	t.regex(text, /event: error\ndata: \{"error":\{"name":"AnswerBroken".*"not_run":false/v);
	t.is(textOf(text), outputText({...wanted, tokens: textOf(text).split(' ').length - 1}));
	t.like(scheduler.ends, [{kind: 'failed'}]);
});

test('a stream whose engine restarts before the first token is started again at another engine', async t => {
	const restarted = await startEngine(engineSettingsSchema.parse({stepMs: 1, warmAfter: 0, promptTokenMs: 10_000}));
	const restartedControl = clientOf(t, restarted);
	const engine = await startEngine(engineSettingsSchema.parse({stepMs: 1, warmAfter: 0}));
	t.teardown(engine.close);
	let requests = 0;
	const scheduler = grantingScheduler(() => {
		requests += 1;
		return requests === 1 ? restarted.address : engine.address;
	});
	const {call, count} = await startTestEntry(t, {scheduler});
	const response = call('/v1/completions', {body});
	await until(async () => {
		const {running} = await recordOf(restartedControl);
		return running === 1;
	});
	await dump(restartedControl('POST', '/control', {restart: true}));
	const res = await response;
	t.true(isComplete(await res.body.text()));
	t.deepEqual(scheduler.ends.map(({kind}) => kind), ['failed', 'answered']);
	t.is(await count('retries', {reason: 'failed'}), 1);
});

test('a stream that belongs to another request reaches no caller', async t => {
	const {call, control, count} = await withEngine(t);
	await dump(call('/v1/completions', {body}));
	await dump(control('POST', '/control', {crossed_answer: true}));
	const other = {...body, prompt: 'tariff nonce=cd34 tokens=10'};
	const res = await call('/v1/completions', {body: other});
	const text = await res.body.text();
	t.false(text.includes('ab12'));
	t.true(await count('droppedAnswers', {reason: 'crossed'}) >= 1);
});

test('when a caller disconnects its run is cancelled at the engine, and its actual cost is charged', async t => {
	const {call, control, scheduler} = await withEngine(t, {stepMs: 5});
	const abort = new AbortController();
	const res = await call('/v1/completions', {body: {...body, prompt: 'nonce=ab12 tokens=5000'}, signal: abort.signal});
	await once(res.body, 'readable');
	res.body.on('error', () => undefined);
	abort.abort();
	await until(() => scheduler.ends.length > 0);
	const {runs} = await recordOf(control);
	t.like(runs, [{outcome: 'cancelled'}]);
	t.is(scheduler.ends[0]?.kind, 'cancelled');
	t.true((scheduler.ends[0]?.cost ?? 0) >= 1);
	t.true((scheduler.ends[0]?.cost ?? Infinity) <= (runs[0]?.cost ?? 0) + 1);
});

test('a stream that is faster than its caller is paused at the target and still arrives complete', async t => {
	const tokens = 100_000;
	let onBlocked = () => undefined as void;
	const isBlocked = new Promise<void>(resolve => {
		onBlocked = resolve;
	});
	const target = createServer((req, res) => {
		const id = String(req.headers['x-request-id']);
		res.writeHead(200, {'content-type': 'text/event-stream', 'x-request-id': id});
		const send = (from: number) => {
			for (let offset = from; offset < tokens; offset++) {
				if (!res.write(`data: ${JSON.stringify({id, offset, choices: [{index: 0, text: `${offset} `}]})}\n\n`)) {
					onBlocked();
					res.once('drain', () => {
						send(offset + 1);
					});
					return;
				}
			}

			res.end(`data: ${JSON.stringify({id, choices: [], usage: {prompt_tokens: 0, completion_tokens: tokens}})}\n\ndata: [DONE]\n\n`);
		};

		req.resume();
		send(0);
	});
	target.listen(0, '127.0.0.1');
	await once(target, 'listening');
	t.teardown(() => target.close());
	const address = target.address();
	const scheduler = grantingScheduler(() => `127.0.0.1:${typeof address === 'object' ? address?.port ?? 0 : 0}`);
	const {call} = await startTestEntry(t, {scheduler});
	const res = await call('/v1/completions', {body});
	await isBlocked;
	t.deepEqual(scheduler.ends, []);
	const text = textOf(await res.body.text());
	t.true(text === Array.from({length: tokens}, (_, offset) => `${offset} `).join(''));
	t.like(scheduler.ends, [{kind: 'answered', cost: tokens}]);
});

test('a graceful stop completes open requests and accepts no new connection', async t => {
	const {call, entry} = await withEngine(t, {stepMs: 5});
	const [stream, completion] = [call('/v1/completions', {body}), call('/v1/completions', {body: {...body, stream: false}})];
	const res = await stream;
	await once(res.body, 'readable');
	const closed = entry.close();
	t.true(isComplete(await res.body.text()));
	const response = await completion;
	t.is(response.statusCode, 200);
	await response.body.dump();
	await closed;
	await t.throwsAsync(call('/v1/completions', {body}), {code: 'ECONNREFUSED'});
});

test('a leaving VM still accepts requests and closes their connections after the responses', async t => {
	const {call, entry} = await withEngine(t, {stepMs: 1});
	const before = await call('/v1/completions', {body: {...body, stream: false}});
	await before.body.dump();
	t.not(before.headers.connection, 'close');
	entry.leave();
	const after = await call('/v1/completions', {body: {...body, stream: false}});
	await after.body.dump();
	t.is(after.statusCode, 200);
	t.is(after.headers.connection, 'close');
});

test('a connection with an incomplete request does not block a graceful stop', async t => {
	const {entry} = await withEngine(t, {}, {...testLimits, readTimeoutMs: 400});
	const [host = '', port] = entry.address.split(':');
	const socket = connect({host, port: Number(port)});
	await once(socket, 'connect');
	const closed = once(socket, 'close');
	socket.write('POST /v1/completions HTTP/1.1\r\nhost: x\r\n');
	socket.resume();
	await entry.close();
	await closed;
	t.true(socket.destroyed);
});
