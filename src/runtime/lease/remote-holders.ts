/**
 * Tracks the lease holders of the pools of other data centres. In a small fleet the holders notify
 * every VM themselves. In a larger one, gateway VMs forward the notices between data centres.
 */
import {FULL_MESH_VMS, gatewaysOf} from '../../core/membership/link-peers.js';
import {type Tenure} from '../../core/lease/types.js';
import {type MembershipView} from '../membership/types.js';

/** Number of heartbeats after which a gateway sends all known holders again within its data centre. It sends changes at once. */
const REPEAT_HEARTBEATS = 10;

/** Lease holder and epoch of the pool of a service in a data centre. */
export type PoolTenure = Tenure & {readonly service: string; readonly dataCentre: string};

export type RemoteHolders = {
	readonly holderOf: (service: string, dataCentre: string) => Tenure | undefined;
	/** Records a notice; returns whether it changed the known holder. */
	readonly record: (tenure: PoolTenure) => boolean;
	/** Does nothing unless this VM is a gateway. Sends the tenures `own` of its data centre to other data centres. Every `REPEAT_HEARTBEATS` heartbeats, sends the tenures of other data centres within its own. */
	readonly onHeartbeat: (own: readonly PoolTenure[]) => void;
	/** Returns the lease holders of these services in other data centres. */
	readonly holdersOf: (services: ReadonlySet<string>) => ReadonlySet<string>;
};

export type RemoteHoldersOptions = {
	readonly membership: Pick<MembershipView, 'selfId' | 'dataCentre' | 'vms'>;
	readonly linkedVms: ReadonlySet<string>;
	readonly send: (vm: string, tenure: PoolTenure) => void;
};

const keyOf = ({service, dataCentre}: Pick<PoolTenure, 'service' | 'dataCentre'>): string => `${service}@${dataCentre}`;

export const createRemoteHolders = ({membership, linkedVms, send}: RemoteHoldersOptions): RemoteHolders => {
	const knownTenures = new Map<string, PoolTenure>();
	let heartbeats = 0;

	const isGateway = (): boolean => {
		const vms = membership.vms();
		return vms.length > FULL_MESH_VMS && gatewaysOf(membership.dataCentre, vms).includes(membership.selfId);
	};

	const linkedPeers = (isOwnDataCentre: boolean): readonly string[] => membership.vms()
		.filter(({id, dataCentre}) => linkedVms.has(id) && (dataCentre === membership.dataCentre) === isOwnDataCentre)
		.map(({id}) => id);

	const sendAll = (peers: readonly string[], tenures: Iterable<PoolTenure>): void => {
		for (const tenure of tenures) {
			for (const peer of peers) {
				send(peer, tenure);
			}
		}
	};

	return {
		holderOf: (service, dataCentre) => knownTenures.get(keyOf({service, dataCentre})),
		record(tenure) {
			const previous = knownTenures.get(keyOf(tenure));
			if (previous && previous.epoch >= tenure.epoch) {
				return false;
			}

			knownTenures.set(keyOf(tenure), tenure);
			if (isGateway()) {
				sendAll(linkedPeers(true), [tenure]);
			}

			return true;
		},
		onHeartbeat(own) {
			heartbeats++;
			if (!isGateway()) {
				return;
			}

			sendAll(linkedPeers(false), own);
			if (heartbeats % REPEAT_HEARTBEATS === 0) {
				sendAll(linkedPeers(true), knownTenures.values());
			}
		},
		holdersOf: services => new Set([...knownTenures.values()].filter(({service}) => services.has(service)).map(({holder}) => holder)),
	};
};
