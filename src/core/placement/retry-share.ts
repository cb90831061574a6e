/**
 * This VM's share of the repeats that a service bears. The bound holds for all VMs
 * together in every window; each VM keeps to the ratio of its own requests and to an
 * even part of the slack, so that no messages are needed, also while VMs are cut off.
 */
import {type RetryBudget} from '../attempt/retry-budget.js';
import {type FleetBounds} from './types.js';

/** Part of the bound that is used, since arrivals are counted at the targets, a little later. */
const USED_SHARE = 0.85;

type Times = {readonly requests: number[]; readonly retries: number[]};

const dropOld = (times: number[], beforeMs: number): void => {
	const kept = times.findIndex(time => time >= beforeMs);
	times.splice(0, kept === -1 ? times.length : kept);
};

/** @param fleetSize - VMs that share the slack, this one included. */
export const createRetryShare = ({retryRatio, retryWindowMs, retrySlack}: FleetBounds, fleetSize: () => number): RetryBudget => {
	const byService = new Map<string, Times>();
	const timesOf = (service: string, nowMs: number): Times => {
		const times = byService.get(service) ?? {requests: [], retries: []};
		byService.set(service, times);
		dropOld(times.requests, nowMs - retryWindowMs);
		dropOld(times.retries, nowMs - retryWindowMs);
		return times;
	};

	return {
		earn(nowMs, service) {
			timesOf(service, nowMs).requests.push(nowMs);
		},
		take(nowMs, service) {
			const {requests, retries} = timesOf(service, nowMs);
			const allowed = USED_SHARE * ((retryRatio * requests.length) + (retrySlack / fleetSize()));
			if (retries.length + 1 > allowed) {
				return false;
			}

			retries.push(nowMs);
			return true;
		},
	};
};
