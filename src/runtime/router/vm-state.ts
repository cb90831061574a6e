/** Starts the tasks that keep one VM's view of the fleet, and the dispatch that uses this view. */
import {randomUUID} from 'node:crypto';
import {defaultLeaseTiming} from '../../core/lease/lease-state.js';
import {createConfigTask} from '../config/config-task.js';
import {type ConfigTask} from '../config/types.js';
import {startDispatch} from '../dispatch/dispatch-task.js';
import {type DispatchTask} from '../dispatch/types.js';
import {createLeaseTask} from '../lease/lease-task.js';
import {type LeaseTask} from '../lease/types.js';
import {startLinkMesh} from '../link/mesh.js';
import {type LinkMesh} from '../link/types.js';
import {createEvery} from '../membership/every.js';
import {createMembershipTask} from '../membership/membership-task.js';
import {type MembershipTask} from '../membership/types.js';
import {createPlatformClient} from '../platform/platform-client.js';
import {type PlatformClient} from '../platform/types.js';
import {type VmKeys} from './load-keys.js';
import {parseAddress} from './parse-address.js';
import {type VmBase} from './vm-base.js';

/** Milliseconds for which a slot is granted while there is no configuration. */
const DEFAULT_SLOT_LEASE_MS = 2000;

export type VmState = {
	readonly platform: PlatformClient;
	readonly links: LinkMesh;
	readonly membership: MembershipTask;
	readonly config: ConfigTask;
	readonly leases: LeaseTask;
	readonly dispatch: DispatchTask;
	/** Returns the names of the services in the active configuration. */
	readonly services: () => readonly string[];
	/** Stops the tasks; to be called when no request is left. */
	readonly stop: () => Promise<void>;
};

/** Returns this VM's rows of a table as JSON. */
export type ReadOwnTable = (table: string) => string;

const startPlatform = ({settings: {platform: {address, timeoutMs}}, random, metrics}: VmBase): PlatformClient => createPlatformClient({
	origin: `http://${address}`,
	random,
	timeoutMs,
	observer: {
		onRetry(reason) {
			metrics.retries.inc({reason: `platform_${reason}`});
		},
		onRetryRefused(reason) {
			metrics.retries.inc({reason: `platform_${reason}_refused`});
		},
	},
});

const startLinks = async (base: VmBase, keys: VmKeys, onReadTable: ReadOwnTable): Promise<LinkMesh> => {
	const {settings, vm, dataCentre, incarnation, clock, random, log} = base;
	return startLinkMesh({
		tls: keys.control,
		vm,
		dataCentre,
		incarnation,
		listen: parseAddress(settings.listen.control),
		clock,
		random,
		onReadTable,
		hooks: {
			onLinkError(err, peer) {
				log.debug('link error', {peer, error: err.data.name});
			},
			onListenerError(err) {
				log.error('listener failed on a frame of a link', {fault: err.stack ?? err.message});
			},
		},
	});
};

type FleetConnections = {readonly platform: PlatformClient; readonly links: LinkMesh};

const startMembership = (base: VmBase, {platform, links}: FleetConnections, configVersion: () => number): MembershipTask => {
	const {settings: {listen, peers, control}, vm, dataCentre, incarnation, clock, random} = base;
	const membership = createMembershipTask({
		self: {
			id: vm, dataCentre, control: listen.control, admin: listen.admin, state: 'live', incarnation,
		},
		seeds: peers.seeds.map(seed => ({
			id: seed.vm, dataCentre: seed.dataCentre, control: seed.control, admin: '', state: 'live',
		})),
		clock,
		every: createEvery(random),
		platform,
		links,
		configVersion,
		heartbeatMs: control.heartbeatMs,
		heartbeatTimeoutMs: control.heartbeatTimeoutMs,
	});
	const linkPeers = () => {
		links.setPeers(membership.linkPeers().map(peer => ({vm: peer.id, dataCentre: peer.dataCentre, address: peer.control})));
	};

	membership.onChange(linkPeers);
	linkPeers();
	return membership;
};

const startConfig = ({clock, random, log, metrics}: VmBase, {platform, links}: FleetConnections, membership: MembershipTask): ConfigTask => {
	const config = createConfigTask({
		clock, every: createEvery(random), random, platform, links, membership,
		onRejected(version, fault) {
			log.error('configuration rejected', {version, fault});
		},
	});
	config.onChange(({version}) => {
		metrics.configVersion.set(version);
		log.info('configuration in force', {version});
	});
	return config;
};

/** Starts the tasks. They apply changes at the platform and messages of the peers until `stop`. */
export const startVmState = async (base: VmBase, keys: VmKeys, onReadTable: ReadOwnTable): Promise<VmState> => {
	const {settings: {control, policy}, vm, dataCentre, incarnation, clock, log} = base;
	const platform = startPlatform(base);
	const links = await startLinks(base, keys, onReadTable);
	const membership = startMembership(base, {platform, links}, () => config.latest()?.version ?? 0);
	const config = startConfig(base, {platform, links}, membership);
	const services = () => Object.keys(config.current()?.services ?? {});
	const leases = createLeaseTask({
		clock, platform, links, membership, services,
		slotLeaseMs: () => control.slotLeaseMs ?? config.current()?.sharing.slotLeaseMs ?? DEFAULT_SLOT_LEASE_MS,
		createOperationId: randomUUID,
		timing: {...defaultLeaseTiming, leaseMs: control.leaseMs},
	});
	const dispatch = startDispatch({
		vm, dataCentre, incarnation, clock, leases, links, log,
		config: () => config.current(),
		aliveVms: () => membership.aliveIn(dataCentre).map(({id}) => id),
		fleetSize: () => membership.vms().filter(({state}) => state === 'alive').length,
		overrides: control,
		policy: policy.name,
	});
	return {
		platform, links, membership, config, leases, dispatch, services,
		async stop() {
			dispatch.stop();
			leases.stop();
			config.stop();
			membership.stop();
			await links.close();
			await platform.close();
		},
	};
};
