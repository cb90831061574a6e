/**
 * Which VMs a VM keeps links with. Within a data centre all are linked. Between data
 * centres a fleet of up to `FULL_MESH_VMS` is linked fully too; a larger one by
 * `GATEWAYS` VMs of each data centre, and by the VMs that dispatch to or from another.
 */
import {rankByRendezvous} from './rendezvous.js';
import {type Vm} from './types.js';

/** Fleets up to this size link every pair of VMs. */
export const FULL_MESH_VMS = 32;

/** VMs of each data centre that link to other data centres' gateways. */
export const GATEWAYS_PER_DATA_CENTRE = 2;

const isLinkable = (vm: Vm): boolean => vm.state !== 'gone';

/** The gateway VMs of a data centre, as far as the caller knows its VMs. */
export const gatewaysOf = (dataCentre: string, vms: readonly Vm[]): readonly string[] => {
	const candidates = vms.filter(vm => vm.dataCentre === dataCentre && (vm.state === 'alive' || vm.state === 'joining'));
	return rankByRendezvous(`gateway/${dataCentre}`, candidates.map(({id}) => id)).slice(0, GATEWAYS_PER_DATA_CENTRE);
};

/**
 * Peers of the VM `self`.
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
