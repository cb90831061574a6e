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
 * Returns the requests per second that this VM may send to one cold target: an equal share
 * of what the target sustains. Where there are more VMs than requests, the first VMs by a
 * hash may send one request each, and the others none.
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
