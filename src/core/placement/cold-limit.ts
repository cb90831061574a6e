/** This VM's part of the requests that a cold target bears from all VMs together. */
import {hash32} from '../membership/rendezvous.js';
import {type FleetBounds} from './types.js';

export type ColdLimitInputs = {
	readonly bounds: FleetBounds;
	/** Requests a second that a cold target bears. */
	readonly coldPerS: number;
	/** Name of this VM and of all VMs, this one included. */
	readonly vm: string;
	readonly vms: readonly string[];
};

/**
 * Requests a second that this VM may send to one cold target: an even part, or one for the
 * first VMs by a hash where there are more VMs than the target bears requests.
 */
export const coldLimit = (target: string, {bounds, coldPerS, vm, vms}: ColdLimitInputs): number => {
	const total = Math.floor((coldPerS * bounds.coldFactor) + bounds.coldSlack);
	if (vms.length <= total) {
		return Math.floor(total / vms.length);
	}

	const own = hash32(`${target}|${vm}`);
	const before = vms.filter(name => name !== vm && hash32(`${target}|${name}`) > own).length;
	return before < total ? 1 : 0;
};
