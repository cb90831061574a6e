import test from 'ava';
import fc from 'fast-check';
import {createRetryShare} from '../../src/core/placement/retry-share.js';
import {bounds} from './_service.js';

const VMS = 7;

test('in every window, the retries of all VMs together stay within the ratio and the slack', t => {
	const steps = fc.array(fc.record({vm: fc.integer({min: 0, max: VMS - 1}), waitMs: fc.integer({min: 0, max: 200}), retries: fc.integer({min: 0, max: 3})}), {minLength: 50, maxLength: 400});
	const check = () => {
		fc.assert(fc.property(steps, list => {
			const shares = Array.from({length: VMS}, () => createRetryShare(bounds, () => VMS));
			const requests: number[] = [];
			const retries: number[] = [];
			let nowMs = 0;
			for (const {vm, waitMs, retries: attempted} of list) {
				nowMs += waitMs;
				shares[vm]?.deposit(nowMs, 's');
				requests.push(nowMs);
				for (let count = 0; count < attempted; count++) {
					if (shares[vm]?.tryWithdraw(nowMs, 's')) {
						retries.push(nowMs);
					}
				}
			}

			return retries.every(end => {
				const inWindow = (times: readonly number[]) => times.filter(ms => ms > end - bounds.retryWindowMs && ms <= end).length;
				return inWindow(retries) <= (bounds.retryRatio * inWindow(requests)) + bounds.retrySlack;
			});
		}), {seed: 3, numRuns: 60});
	};

	t.notThrows(check);
});

test('a VM without requests still has its share of the slack', t => {
	const share = createRetryShare(bounds, () => VMS);
	const taken = Array.from({length: 20}, () => share.tryWithdraw(0, 's')).filter(Boolean).length;
	t.is(taken, Math.floor(0.85 * 54 / VMS));
});
