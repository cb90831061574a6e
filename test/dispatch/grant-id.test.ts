import test from 'ava';
import {PoolMember, type MemberEffect} from '../../src/core/dispatch/pool-member.js';

const startOne = (service: string): readonly MemberEffect[] => {
	const member = new PoolMember({
		service, dataCentre: 'colombo', vm: 'vm-1', vmIncarnation: 'a',
		addressOf: () => '127.0.0.1:1', choose: (_ask, candidates) => candidates[0]!, maxQueuedOf: () => 10,
	});
	member.setHolder({vm: 'vm-2', epoch: 1n});
	const report = member.buildReport(0);
	member.onAllotment({
		service, dataCentre: 'colombo', member: 'vm-1', incarnation: report!.incarnation, reportSeq: report!.seq, epoch: 1n, dispatcher: 'vm-2',
		slots: [{
			target: 'target-1', granted: 1, keep: 1, leaseMs: 0,
		}],
		ordered: false, approvals: [], order: [], drainPerS: 0, queued: 0, leaseMs: 1000,
	}, 1);
	return member.submit({
		requestId: 'r', team: 'couriers', service, estimatedCost: 1, deadlineMs: 1000,
	}, 2);
};

test('grants of two services on one VM have different ids', t => {
	const ids = ['tariff', 'franking'].flatMap(service => startOne(service)).map(effect => effect.kind === 'start' ? effect.grant.grantId : '');
	t.is(ids.length, 2);
	t.not(ids[0], ids[1]);
});
