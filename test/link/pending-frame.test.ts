import test from 'ava';
import fc from 'fast-check';
import {createPendingFrame} from '../../src/runtime/link/pending-frame.js';

const name = fc.constantFrom('x', 'y', 'z');
const report = fc.record({
	service: name, dataCentre: name, member: name, seq: fc.nat(),
});

test('only the latest report of each pool and member is sent, and claims keep their order', t => {
	t.notThrows(() => {
		fc.assert(fc.property(fc.array(report), fc.array(fc.bigInt({min: 0n, max: 1000n})), (reports, ids) => {
			const pending = createPendingFrame();
			for (const each of reports) {
				pending.add({reports: [each]});
			}

			for (const id of ids) {
				pending.add({claimRequests: [{id}]});
			}

			const latest = new Map(reports.map(each => [`${each.service} ${each.dataCentre} ${each.member}`, each]));
			const sent = pending.take();
			return JSON.stringify(sent.reports) === JSON.stringify([...latest.values()])
				&& (sent.claimRequests ?? []).map(({id}) => id).join(' ') === ids.join(' ')
				&& pending.isEmpty();
		}), {seed: 1});
	});
});

test('a queued document is sent with its own version when a notice without a document follows', t => {
	const pending = createPendingFrame();
	pending.add({config: {version: 7n, document: '{}', heardVersion: 7n}});
	pending.add({config: {version: 7n, heardVersion: 9n, fetch: true}});
	t.deepEqual(pending.take().config, {
		version: 7n, document: '{}', heardVersion: 9n, fetch: true,
	});
});
