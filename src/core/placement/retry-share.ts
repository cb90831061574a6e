/**
 * Limits this VM's retries to its share of the retries that a service tolerates. The limit
 * holds for all VMs together in every window, because each VM limits its retries to the ratio of
 * its own requests plus an equal share of the slack. The VMs exchange no messages for this, so
 * the limit also holds in a partition.
 */
import {type RetryBudget} from '../attempt/retry-budget.js';
import {createSlidingCount, type SlidingCount} from './sliding-count.js';
import {type FleetBounds} from './types.js';

/** Share of the limit that is used. The targets count retries when these arrive, a little after this VM counts them. */
const SAFETY_SHARE = 0.85;

type Counts = {readonly requests: SlidingCount; readonly retries: SlidingCount};

/** @param fleetSize - Returns the number of VMs that share the slack, this one included. */
export const createRetryShare = ({retryRatio, retryWindowMs, retrySlack}: FleetBounds, fleetSize: () => number): RetryBudget => {
	const byService = new Map<string, Counts>();
	const countsOf = (service: string): Counts => {
		const counts = byService.get(service) ?? {requests: createSlidingCount(retryWindowMs), retries: createSlidingCount(retryWindowMs)};
		byService.set(service, counts);
		return counts;
	};

	return {
		deposit(nowMs, service) {
			countsOf(service).requests.add(nowMs);
		},
		tryWithdraw(nowMs, service) {
			const {requests, retries} = countsOf(service);
			const allowed = SAFETY_SHARE * ((retryRatio * requests.size(nowMs)) + (retrySlack / fleetSize()));
			if (retries.size(nowMs) + 1 > allowed) {
				return false;
			}

			retries.add(nowMs);
			return true;
		},
	};
};
