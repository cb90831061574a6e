/** How a VM of the data centre counts for leases. */
import {type Vm} from '../membership/types.js';
import {type LeaseMember} from './types.js';

/** The platform's list speaks for unheard VMs for this long after it was read. */
export const VM_LIST_MAX_AGE_MS = 10_000;

/**
 * A VM that is unheard counts while the platform lists it, and while there is no fresh
 * list to tell: otherwise both sides of a cut would each be a majority of themselves.
 */
const isCounted = (vm: Vm, nowMs: number, listReadMs: number | undefined): boolean => {
	if (vm.state === 'leaving') {
		return false;
	}

	const isListFresh = listReadMs !== undefined && nowMs - listReadMs <= VM_LIST_MAX_AGE_MS;
	return vm.listed || vm.state === 'alive' || (!isListFresh && (vm.isSeed || vm.heardMs !== undefined));
};

/** The member that a VM is for the leases of its data centre. */
export const toLeaseMember = (vm: Vm, nowMs: number, listReadMs: number | undefined): LeaseMember => ({
	id: vm.id,
	isCandidate: vm.state === 'alive',
	isCounted: isCounted(vm, nowMs, listReadMs),
	heardMs: vm.heardMs,
	confirmedMs: vm.confirmedMs,
	hears: [...vm.heard],
	aliveSinceMs: vm.heardSinceMs,
});
