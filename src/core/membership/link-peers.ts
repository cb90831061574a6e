/**
 * Chooses the VMs that a VM keeps links with. All VMs of a data centre are linked with each
 * other. In a fleet of up to `FULL_MESH_VMS` VMs all data centres are fully linked too. In a
 * larger one, only `GATEWAYS_PER_DATA_CENTRE` VMs of each data centre, and VMs that dispatch to
 * or from another data centre, have links to other data centres.
 */
import {rankByRendezvous} from './rendezvous.js';
import {type Vm} from './types.js';

/** Number of VMs of the largest fleet in which every pair of VMs is linked. */
export const FULL_MESH_VMS = 32;

/** Number of VMs in each data centre that link to the gateways of other data centres. */
export const GATEWAYS_PER_DATA_CENTRE = 2;

const isLinkable = (vm: Vm): boolean => vm.state !== 'gone';

/** Returns the gateway VMs of a data centre, chosen from those of its VMs that the caller knows. */
export const gatewaysOf = (dataCentre: string, vms: readonly Vm[]): readonly string[] => {
	const candidates = vms.filter(vm => vm.dataCentre === dataCentre && (vm.state === 'alive' || vm.state === 'joining'));
	return rankByRendezvous(`gateway/${dataCentre}`, candidates.map(({id}) => id)).slice(0, GATEWAYS_PER_DATA_CENTRE);
};

/**
 * Returns the VMs that `self` keeps links with.
 *
 * @param needed - VMs of other data centres that a task exchanges messages with.
 */
export const linkPeers = (self: Vm, vms: readonly Vm[], needed: ReadonlySet<string>): readonly Vm[] => {
	const others = vms.filter(vm => vm.id !== self.id && isLinkable(vm));
	if (others.length < FULL_MESH_VMS) {
		return others;
	}

	const dataCentres = new Set(others.map(({dataCentre}) => dataCentre));
	const gateways = new Set([...dataCentres].flatMap(dataCentre => gatewaysOf(dataCentre, vms)));
	return others.filter(vm =>
		vm.dataCentre === self.dataCentre
		|| needed.has(vm.id)
		|| (gateways.has(self.id) && gateways.has(vm.id)));
};
