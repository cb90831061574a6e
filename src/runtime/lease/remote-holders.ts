/**
 * Holders of other data centres' pools. In a small fleet they tell every VM themselves;
 * in a larger one the gateway VMs pass their notices on.
 */
import {FULL_MESH_VMS, gatewaysOf} from '../../core/membership/link-peers.js';
import {type Tenure} from '../../core/lease/types.js';
import {type MembershipView} from '../membership/types.js';

/** Gateways repeat what they know at every such heartbeat, beside telling changes at once. */
const REPEAT_HEARTBEATS = 10;

export type PoolTenure = Tenure & {readonly service: string; readonly dataCentre: string};

export type RemoteHolders = {
	readonly holderOf: (service: string, dataCentre: string) => Tenure | undefined;
	/** Takes in a notice; true when it is news. */
	readonly record: (tenure: PoolTenure) => boolean;
	/** Passes own tenures on to other data centres, and others' within the own, if it is time. */
	readonly onHeartbeat: (own: readonly PoolTenure[]) => void;
	/** Other data centres' holders of these services. */
	readonly holdersOf: (services: ReadonlySet<string>) => ReadonlySet<string>;
};

export type RemoteHoldersOptions = {
	readonly membership: Pick<MembershipView, 'selfId' | 'dataCentre' | 'vms'>;
	readonly linkedVms: ReadonlySet<string>;
	readonly send: (vm: string, tenure: PoolTenure) => void;
};

const keyOf = ({service, dataCentre}: Pick<PoolTenure, 'service' | 'dataCentre'>): string => `${service}@${dataCentre}`;

export const createRemoteHolders = ({membership, linkedVms, send}: RemoteHoldersOptions): RemoteHolders => {
	const known = new Map<string, PoolTenure>();
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
		holderOf: (service, dataCentre) => known.get(keyOf({service, dataCentre})),
		record(tenure) {
			const before = known.get(keyOf(tenure));
			if (before && before.epoch >= tenure.epoch) {
				return false;
			}

			known.set(keyOf(tenure), tenure);
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
				sendAll(linkedPeers(true), known.values());
			}
		},
		holdersOf: services => new Set([...known.values()].filter(({service}) => services.has(service)).map(({holder}) => holder)),
	};
};
