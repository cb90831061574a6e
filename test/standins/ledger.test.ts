import test from 'ava';
import {startLedger} from '../../standins/ledger/ledger.js';
import {ledgerSettingsSchema} from '../../standins/ledger/settings.js';
import {clientOf, dump, recordOf} from './_client.js';

const settings = ledgerSettingsSchema.parse({serviceMs: 1, warmAfter: 0});
const debit = {
	account: 'a', amount: 3, debit_id: 'd1', cost: 2,
};

test('each debit takes effect, and the record counts runs by request and by debit', async t => {
	const call = clientOf(t, await startLedger(settings));
	const run = async (requestId: string) => {
		const res = await call('POST', '/debits', debit, {'x-request-id': requestId});
		return [res.statusCode, res.headers['x-cost'], res.headers['x-request-id'], await res.body.json()];
	};

	t.snapshot([await run('r1'), await run('r2')]);
	const {runs} = await recordOf(call);
	t.deepEqual(runs.map(item => [item.request_id, item.business_id, item.cost]), [['r1', 'd1', 2], ['r2', 'd1', 2]]);
});

test('a debit whose response is lost stays executed', async t => {
	const call = clientOf(t, await startLedger(settings));
	await dump(call('POST', '/control', {lose_answer: true}));
	await t.throwsAsync(call('POST', '/debits', debit));
	const {runs} = await recordOf(call);
	t.is(runs.length, 1);
});
