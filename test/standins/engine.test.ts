import test, {type ExecutionContext} from 'ava';
import {startEngine} from '../../standins/engine/engine.js';
import {engineSettingsSchema} from '../../standins/engine/settings.js';
import {checkOutput, outputText, parseWanted} from '../../standins/engine/tokens.js';
import {clientOf, dump, recordOf} from './_client.js';

/** Starts an engine that is warm from the start, unless the settings change that. */
const start = async (t: ExecutionContext, settings: Readonly<Record<string, unknown>> = {}) => clientOf(t, await startEngine(engineSettingsSchema.parse({
	warmAfter: 0, stepMs: 2, promptTokenMs: 0, ...settings,
})));

const textsOf = (body: string): readonly string[] => [...body.matchAll(/"text":"(?<text>[^"]*)"/gv)].map(match => match.groups?.text ?? '');

const textOf = (events: string): string => textsOf(events).join('');

test('a plain answer is whole and its usage counts both kinds of tokens', async t => {
	const call = await start(t);
	const res = await call('POST', '/v1/completions', {prompt: 'nonce=ab12 tokens=5 of tea'}, {'x-request-id': 'r1'});
	t.is(res.headers['x-request-id'], 'r1');
	t.snapshot(await res.body.json());
});

test('a chat stream counts its tokens from zero and ends with usage', async t => {
	const call = await start(t);
	const res = await call('POST', '/v1/chat/completions', {messages: [{role: 'user', content: 'nonce=cd tokens=2'}], stream: true}, {'x-request-id': 'r2'});
	t.snapshot(await res.body.text());
});

test('a broken stream is resumed at an offset without loss', async t => {
	const call = await start(t);
	await dump(call('POST', '/control', {drop_after_tokens: 3}));
	const first = await call('POST', '/v1/completions', {prompt: 'nonce=ef tokens=8', stream: true}, {'x-request-id': 'r3'});
	let received = '';
	await t.throwsAsync(async () => {
		for await (const chunk of first.body) {
			received += String(chunk);
		}
	});
	const offset = textOf(received).split(' ').length - 1;
	const second = await call('GET', `/v1/streams/r3?offset=${offset}`);
	t.is(textOf(received) + textOf(await second.body.text()), outputText({nonce: 'ef', tokens: 8}));
});

test('a cancelled request frees its slot and is recorded with the cost of the tokens it generated', async t => {
	const call = await start(t, {maxRunning: 1});
	const running = await call('POST', '/v1/completions', {prompt: 'nonce=aa tokens=1000', stream: true}, {'x-request-id': 'r4'});
	const refused = await call('POST', '/v1/completions', {prompt: 'nonce=bb tokens=1'});
	t.is(refused.statusCode, 503);
	t.is(refused.headers['x-overloaded'], '1');
	await dump(call('DELETE', '/v1/streams/r4'));
	await t.throwsAsync(running.body.text());
	const next = await call('POST', '/v1/completions', {prompt: 'nonce=bb tokens=1'});
	t.is(next.statusCode, 200);
	const record = await recordOf(call);
	t.deepEqual(record.runs.map(({outcome}) => outcome), ['cancelled', 'answered']);
	t.true((record.runs[0]?.cost ?? 0) < 1000);
});

test('a cold engine crashes above its cold limit and restarts as a new instance', async t => {
	const call = await start(t, {warmAfter: 1, coldLimit: 1});
	const before = await recordOf(call);
	const first = await call('POST', '/v1/completions', {prompt: 'nonce=aa tokens=1000', stream: true});
	await t.throwsAsync(call('POST', '/v1/completions', {prompt: 'nonce=bb tokens=1'}));
	await t.throwsAsync(first.body.text());
	const after = await recordOf(call);
	t.not(after.instance, before.instance);
	t.is(after.cold_violations, 1);
	await dump(call('POST', '/v1/completions', {prompt: 'nonce=cc tokens=1'}));
	const warm = await recordOf(call);
	t.deepEqual([after.cold, warm.cold], [true, false]);
});

test('a crossed response has the id and the text of an earlier request', async t => {
	const call = await start(t);
	await dump(call('POST', '/v1/completions', {prompt: 'nonce=aa tokens=2'}, {'x-request-id': 'first'}));
	await dump(call('POST', '/control', {crossed_answer: true}));
	const res = await call('POST', '/v1/completions', {prompt: 'nonce=bb tokens=2'}, {'x-request-id': 'second'});
	t.is(res.headers['x-request-id'], 'first');
	const [text] = textsOf(await res.body.text());
	t.is(checkOutput(text ?? '', parseWanted('nonce=bb tokens=2', 1)), 'crossed');
});

test('an outdated fencing epoch is refused if the engine checks it', async t => {
	const call = await start(t, {checksFencing: true});
	const body = {prompt: 'nonce=aa tokens=1'};
	await dump(call('POST', '/v1/completions', body, {'x-fencing-epoch': '4'}));
	const res = await call('POST', '/v1/completions', body, {'x-fencing-epoch': '3'});
	t.is(res.statusCode, 409);
	t.is(res.headers['x-fencing-refused'], '1');
});
