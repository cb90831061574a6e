/**
 * This VM's share of the repeats that a service bears. The bound holds for all VMs
 * together in every window; each VM keeps to the ratio of its own requests and to an
 * even part of the slack, so that no messages are needed, also while VMs are cut off.
 */
import {type RetryBudget} from '../attempt/retry-budget.js';
import {createSlidingCount, type SlidingCount} from './sliding-count.js';
import {type FleetBounds} from './types.js';

/** Part of the bound that is used, since arrivals are counted at the targets, a little later. */
const SAFETY_SHARE = 0.85;

type Counts = {readonly requests: SlidingCount; readonly retries: SlidingCount};

/** @param fleetSize - VMs that share the slack, this one included. */
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
