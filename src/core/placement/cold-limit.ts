/** Computes this VM's share of the request rate that a cold target sustains from all VMs together. */
import {hash32} from '../membership/rendezvous.js';
import {type FleetBounds} from './types.js';

export type ColdLimitInputs = {
	readonly bounds: FleetBounds;
	/** Requests per second that a cold target sustains. */
	readonly coldPerS: number;
	/** Name of this VM. */
	readonly vm: string;
	/** Names of all VMs, this one included. */
	readonly vms: readonly string[];
};

/**
 * Returns the requests per second that this VM may send to one cold target. All VMs together
 * may send `coldPerS` times `coldFactor` plus `coldSlack` requests, of which each has an equal
 * share. If there are more VMs than such requests, a hash selects the VMs that may send one
 * request per second; the others may send none.
 */
export const coldLimit = (target: string, {bounds, coldPerS, vm, vms}: ColdLimitInputs): number => {
	const totalPerS = Math.floor((coldPerS * bounds.coldFactor) + bounds.coldSlack);
	if (vms.length <= totalPerS) {
		return Math.floor(totalPerS / vms.length);
	}

	const ownHash = hash32(`${target}|${vm}`);
	const vmsBefore = vms.filter(name => name !== vm && hash32(`${target}|${name}`) > ownHash).length;
	return vmsBefore < totalPerS ? 1 : 0;
};
