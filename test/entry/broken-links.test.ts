import {once} from 'node:events';
import test, {type ExecutionContext} from 'ava';
import {request} from 'undici';
import {startEngine} from '../../standins/engine/engine.js';
import {engineSettingsSchema} from '../../standins/engine/settings.js';
import {outputText} from '../../standins/engine/tokens.js';
import {startLedger} from '../../standins/ledger/ledger.js';
import {ledgerSettingsSchema} from '../../standins/ledger/settings.js';
import {startProxy} from '../../standins/proxy/proxy.js';
import {proxySettingsSchema} from '../../standins/proxy/settings.js';
import {type Standin} from '../../standins/shared/types.js';
import {clientOf, recordOf} from '../standins/_client.js';
import {grantingScheduler, startTestEntry, until} from './_entry.js';

const STALL_MS = 150;
/** Milliseconds that a target takes for a request: enough to set a fault before the response arrives, also on a busy machine, and less than the longest run time. */
const SERVICE_MS = 1000;
const TOKENS = 200;
const body = {model: 'tariff', prompt: `nonce=ab12 tokens=${TOKENS}`, stream: true};
const debit = {account: 'a', amount: 3, debit_id: 'd1'};

/** Starts an entry whose calls to the target pass a proxy that injects faults. */
const behindProxy = async (t: ExecutionContext, target: Standin) => {
	const control = clientOf(t, target);
	const proxy = await startProxy(proxySettingsSchema.parse({links: [{name: 'target', upstream: target.address}]}));
	t.teardown(proxy.close);
	const scheduler = grantingScheduler(() => String(proxy.details?.target));
	const entry = await startTestEntry(t, {scheduler, stallMs: STALL_MS});
	return {
		...entry,
		scheduler,
		async runs() {
			const {runs} = await recordOf(control);
			return runs.length;
		},
		async running() {
			const {running} = await recordOf(control);
			return running;
		},
		async setFaults(faults: Readonly<Record<string, unknown>>) {
			const res = await request(`http://${proxy.address}/control`, {method: 'POST', body: JSON.stringify({names: ['target'], faults})});
			await res.body.dump();
		},
	};
};

const engineBehindProxy = async (t: ExecutionContext) =>
	behindProxy(t, await startEngine(engineSettingsSchema.parse({stepMs: 2, warmAfter: 0})));

const ledgerBehindProxy = async (t: ExecutionContext, serviceMs = 1) =>
	behindProxy(t, await startLedger(ledgerSettingsSchema.parse({serviceMs, warmAfter: 0})));

const textOf = (stream: string) => [...stream.matchAll(/"text":"(?<token>[^"]*)"/gv)].map(match => match.groups?.token).join('');
const isComplete = (stream: string) => textOf(stream) === outputText({nonce: 'ab12', tokens: TOKENS}) && stream.endsWith('data: [DONE]\n\n');

test('a stream whose connection is cut for a moment is resumed and arrives complete', async t => {
	const {call, setFaults, count, scheduler} = await engineBehindProxy(t);
	const res = await call('/v1/completions', {body});
	await once(res.body, 'readable');
	await setFaults({cut: true});
	await setFaults({});
	t.true(isComplete(await res.body.text()));
	t.true(await count('streamResumes', {result: 'resumed'}) >= 1);
	// On a busy machine the connection stays cut for longer, and a first attempt to resume may fail as well.
	const kinds = scheduler.ends.map(({kind}) => kind);
	t.is(kinds.at(-1), 'answered');
	t.true(kinds.slice(0, -1).every(kind => kind === 'failed'));
});

test('a stream whose connection freezes is resumed, and arrives complete when the connection works again', async t => {
	const {call, setFaults, count} = await engineBehindProxy(t);
	const res = await call('/v1/completions', {body});
	await once(res.body, 'readable');
	await setFaults({freeze: true});
	setTimeout(() => {
		void setFaults({});
	}, 3 * STALL_MS);
	t.true(isComplete(await res.body.text()));
	t.true(await count('streamResumes', {result: 'resumed'}) >= 1);
});

test('a stream whose connection stays cut ends with an error event, never as if it were complete', async t => {
	const {call, setFaults, scheduler, count} = await engineBehindProxy(t);
	const res = await call('/v1/completions', {body});
	await once(res.body, 'readable');
	await setFaults({cut: true});
	const text = await res.body.text();
	t.false(text.includes('[DONE]'));
	t.regex(text, /event: error\ndata: .*"name":"AnswerBroken"/v);
	t.is(await count('streamResumes', {result: 'given-up'}), 1);
	t.like(scheduler.ends, [{kind: 'failed'}]);
});

test('a debit that arrived before its connection was cut ends as unknown and is not sent again', async t => {
	const {call, setFaults, runs, running, scheduler} = await ledgerBehindProxy(t, SERVICE_MS);
	const response = call('/services/ledger/debits', {body: debit});
	await until(async () => await running() === 1);
	await setFaults({cut: true});
	const res = await response;
	t.like(await res.body.json(), {error: {name: 'OutcomeUnknown', not_run: false}});
	await setFaults({});
	await until(async () => await running() === 0);
	t.is(await runs(), 1);
	t.deepEqual(scheduler.ends.map(({kind}) => kind), ['failed']);
});

test('a debit whose response does not arrive ends as unknown after the longest run time', async t => {
	const {call, setFaults, runs, running} = await ledgerBehindProxy(t, SERVICE_MS);
	const response = call('/services/ledger/debits', {body: debit});
	await until(async () => await running() === 1);
	await setFaults({one_way_cut: 'from_upstream'});
	const res = await response;
	t.like(await res.body.json(), {error: {name: 'OutcomeUnknown', not_run: false}});
	t.is(await runs(), 1);
});
