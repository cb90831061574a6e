/** Conversion of the VMs of a data centre to members for its lease decisions. */
import {type Vm} from '../membership/types.js';
import {type LeaseMember} from './types.js';

/** Age up to which the platform's list of VMs decides whether a VM without recent heartbeats counts in quorums. */
export const VM_LIST_MAX_AGE_MS = 10_000;

/**
 * Returns whether the VM counts in quorums. A VM without recent heartbeats counts while the
 * platform lists it, and also while there is no recent list. Without this rule, each side
 * of a network partition would be a majority of the VMs that it counts.
 */
const isCounted = (vm: Vm, nowMs: number, listReadMs: number | undefined): boolean => {
	if (vm.state === 'leaving') {
		return false;
	}

	const isListFresh = listReadMs !== undefined && nowMs - listReadMs <= VM_LIST_MAX_AGE_MS;
	return vm.listed || vm.state === 'alive' || (!isListFresh && (vm.isSeed || vm.heardMs !== undefined));
};

/** Converts a VM to a member for the leases of its data centre. */
export const toLeaseMember = (vm: Vm, nowMs: number, listReadMs: number | undefined): LeaseMember => ({
	id: vm.id,
	isCandidate: vm.state === 'alive',
	isCounted: isCounted(vm, nowMs, listReadMs),
	heardMs: vm.heardMs,
	confirmedMs: vm.confirmedMs,
	hears: [...vm.heard],
	aliveSinceMs: vm.heardSinceMs,
});
