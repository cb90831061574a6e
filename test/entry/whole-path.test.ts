import test, {type ExecutionContext} from 'ava';
import * as z from 'zod';
import {startEngine} from '../../standins/engine/engine.js';
import {engineSettingsSchema} from '../../standins/engine/settings.js';
import {outputText} from '../../standins/engine/tokens.js';
import {startLedger} from '../../standins/ledger/ledger.js';
import {ledgerSettingsSchema} from '../../standins/ledger/settings.js';
import {clientOf, recordOf} from '../standins/_client.js';
import {grantingScheduler, startTestEntry} from './_entry.js';

const completionSchema = z.object({id: z.string(), choices: z.array(z.object({text: z.string()}))});
const prompt = 'tariff to Galle nonce=ab12 tokens=20';

const withEngine = async (t: ExecutionContext) => {
	const engine = await startEngine(engineSettingsSchema.parse({stepMs: 1, warmAfter: 0}));
	const scheduler = grantingScheduler(() => engine.address);
	return {scheduler, control: clientOf(t, engine), ...await startTestEntry(t, {scheduler})};
};

test('a completion is returned complete, with its request id, and its cost is reported', async t => {
	const {call, scheduler} = await withEngine(t);
	const res = await call('/v1/completions', {body: {model: 'tariff', prompt}});
	const body = completionSchema.parse(await res.body.json());
	t.is(res.statusCode, 200);
	t.is(body.choices[0]?.text, outputText({nonce: 'ab12', tokens: 20}));
	t.is(res.headers['x-request-id'], body.id);
	t.like(scheduler.ends[0], {kind: 'answered', cost: 20.5});
});

test('a streamed completion has every token once, in order, and the end mark', async t => {
	const {call, scheduler} = await withEngine(t);
	const res = await call('/v1/chat/completions', {body: {model: 'tariff', stream: true, messages: [{role: 'user', content: prompt}]}});
	const text = await res.body.text();
	const tokens = [...text.matchAll(/"content":"(?<token>[^"]*)"/gv)].map(match => match.groups?.token).join('');
	t.is(tokens, outputText({nonce: 'ab12', tokens: 20}));
	t.true(text.endsWith('data: [DONE]\n\n'));
	t.like(scheduler.ends[0], {kind: 'answered', cost: 20.5});
});

test('a call to a plain service is passed on, and its cost is read from the response', async t => {
	const ledger = await startLedger(ledgerSettingsSchema.parse({serviceMs: 1, warmAfter: 0}));
	const control = clientOf(t, ledger);
	const scheduler = grantingScheduler(() => ledger.address);
	const {call} = await startTestEntry(t, {scheduler});
	const res = await call('/services/ledger/debits', {
		body: {
			account: 'a', amount: 3, debit_id: 'd1', cost: 2,
		},
	});
	t.like(await res.body.json(), {account: 'a', balance: -3, request_id: res.headers['x-request-id']});
	t.like(scheduler.ends, [{kind: 'answered', cost: 2}]);
	const {runs} = await recordOf(control);
	t.is(runs.length, 1);
});
