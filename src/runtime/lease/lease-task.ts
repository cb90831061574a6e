/**
 * Runs the lease state machine for the pools of this VM's data centre: passes heartbeats, notices
 * and the platform's responses to it, and performs its effects. A VM follows a lease holder if it
 * accepts that VM as the dispatcher of the pool.
 */
import {type Clock} from '../../core/clock.js';
import {toLeaseMember} from '../../core/lease/lease-member.js';
import {stepLease} from '../../core/lease/lease-machine.js';
import {initialLeaseState, isValid, defaultLeaseTiming} from '../../core/lease/lease-state.js';
import {
	type LeaseEffect, type LeaseMessage, type LeaseTiming, type LeaseWrite, type Tenure,
} from '../../core/lease/types.js';
import {type LinkPort, type MembershipTask, type MembershipView} from '../membership/types.js';
import {type PlatformClient} from '../platform/types.js';
import {createLeaseStore} from './lease-store.js';
import {createRemoteHolders, type PoolTenure} from './remote-holders.js';
import {type LeaseTask} from './types.js';

export type LeaseTaskOptions = {
	readonly clock: Clock;
	readonly platform: Pick<PlatformClient, 'readRow' | 'transact'>;
	readonly links: LinkPort;
	readonly membership: MembershipView & Pick<MembershipTask, 'need'>;
	/** Returns the services that have targets in this VM's data centre. */
	readonly services: () => readonly string[];
	/** Returns the longest time for which slots are granted, in milliseconds. */
	readonly slotLeaseMs: () => number;
	readonly createOperationId: () => string;
	readonly timing?: LeaseTiming;
};

/** Starts the lease task, which runs with each heartbeat. */
export const createLeaseTask = ({clock, platform, links, membership, services, slotLeaseMs, createOperationId, timing = defaultLeaseTiming}: LeaseTaskOptions): LeaseTask => {
	const {selfId, dataCentre} = membership;
	const store = createLeaseStore({platform, dataCentre, createOperationId});
	const listeners: Array<(service: string, dataCentre: string) => void> = [];
	const linkedVms = new Set<string>();
	let isStopped = false;
	let neededNames = '';
	let state = initialLeaseState(selfId, clock.nowMs(), timing);

	const notify = (service: string, poolDataCentre: string): void => {
		for (const listener of listeners) {
			listener(service, poolDataCentre);
		}
	};

	const sendNotice = (vm: string, service: string, tenure: Tenure, handover?: {readonly successor: string | undefined}): void => {
		links.queue(vm, {
			leases: [{
				service, dataCentre, holder: tenure.holder, epoch: BigInt(tenure.epoch),
				handover: handover !== undefined, successor: handover?.successor ?? '',
			}],
		});
	};

	const remoteHolders = createRemoteHolders({
		membership,
		linkedVms,
		send(vm, {service, dataCentre: poolDataCentre, holder, epoch}) {
			links.queue(vm, {
				leases: [{
					service, dataCentre: poolDataCentre, holder, epoch: BigInt(epoch),
				}],
			});
		},
	});

	const sendToAll = (effect: Extract<LeaseEffect, {kind: 'announce'}>): void => {
		for (const vm of linkedVms) {
			sendNotice(vm, effect.service, effect, effect.isHandover ? effect : undefined);
		}
	};

	const read = async (service: string): Promise<void> => {
		const row = await store.read(service);
		handle(row ? {kind: 'row', row} : {kind: 'failed', services: [service]});
	};

	const write = async (rows: readonly LeaseWrite[]): Promise<void> => {
		const sentMs = clock.nowMs();
		const result = await store.write(rows);
		const serviceNames = rows.map(({service}) => service);
		switch (result.kind) {
			case 'written': {
				handle({kind: 'written', sentMs, rows: result.rows});
				break;
			}

			case 'conflict': {
				handle({kind: 'conflict', services: serviceNames, rows: result.rows});
				break;
			}

			case 'failed': {
				handle({kind: 'failed', services: serviceNames});
				break;
			}
		}
	};

	const performEffect = (effect: LeaseEffect): void => {
		switch (effect.kind) {
			case 'read': {
				void read(effect.service);
				break;
			}

			case 'write': {
				void write(effect.rows);
				break;
			}

			case 'announce': {
				sendToAll(effect);
				break;
			}

			case 'confirm': {
				sendNotice(effect.holder, effect.service, effect);
				break;
			}

			case 'changed': {
				notify(effect.service, dataCentre);
				break;
			}
		}
	};

	const handle = (message: LeaseMessage): void => {
		const step = stepLease(state, message, clock.nowMs());
		state = step.state;
		for (const effect of step.effects) {
			performEffect(effect);
		}
	};

	/** Notifies all linked VMs of the leases that this VM holds or has released. Confirms to the holders of other leases that this VM follows them. */
	const sendNotices = (): void => {
		for (const [service, {ownLease, followed, isReleased, successor}] of Object.entries(state.pools)) {
			if (ownLease) {
				sendToAll({
					kind: 'announce', service, holder: selfId, epoch: ownLease.epoch, isHandover: false, successor: undefined,
				});
			} else if (followed?.holder === selfId && isReleased) {
				sendToAll({
					kind: 'announce', service, ...followed, isHandover: true, successor,
				});
			} else if (followed && linkedVms.has(followed.holder)) {
				sendNotice(followed.holder, service, followed);
			}
		}
	};

	const ownTenures = (): readonly PoolTenure[] => Object.entries(state.pools).flatMap(([service, {followed}]) =>
		followed ? [{service, dataCentre, ...followed}] : []);

	/** Requests links to the lease holders in other data centres of the services whose lease this VM holds, since the dispatchers of a service exchange messages. */
	const requestHolderLinks = (): void => {
		const held = Object.entries(state.pools).filter(([, {ownLease}]) => ownLease).map(([service]) => service);
		const needed = remoteHolders.holdersOf(new Set(held));
		const names = [...needed].toSorted().join(' ');
		if (names !== neededNames) {
			neededNames = names;
			membership.need(needed);
		}
	};

	const onHeartbeat = (): void => {
		if (isStopped) {
			return;
		}

		state = {...state, timing: {...timing, slotLeaseMs: slotLeaseMs()}};
		const members = membership.vms().filter(vm => vm.dataCentre === dataCentre).map(vm => toLeaseMember(vm, clock.nowMs(), membership.listReadMs()));
		handle({kind: 'tick', members, services: services()});
		sendNotices();
		remoteHolders.onHeartbeat(ownTenures());
		requestHolderLinks();
	};

	links.onFrame((from, frame) => {
		for (const notice of frame.leases) {
			const tenure: Tenure = {holder: notice.holder, epoch: Number(notice.epoch)};
			if (notice.dataCentre !== dataCentre) {
				if (remoteHolders.record({...tenure, service: notice.service, dataCentre: notice.dataCentre})) {
					notify(notice.service, notice.dataCentre);
				}

				continue;
			}

			handle({
				kind: 'notice',
				...tenure,
				from: from.vm,
				service: notice.service,
				isHandover: notice.handover,
				successor: notice.successor === '' ? undefined : notice.successor,
				confirmedMs: membership.vm(from.vm)?.confirmedMs,
			});
		}
	});

	links.onPeer(event => {
		if (event.state === 'up') {
			linkedVms.add(event.vm);
		} else {
			linkedVms.delete(event.vm);
		}
	});

	membership.onHeartbeat(onHeartbeat);

	const ownEpoch = (service: string): number | undefined => {
		const pool = state.pools[service];
		return pool && isValid(pool, clock.nowMs()) ? pool.ownLease?.epoch : undefined;
	};

	return {
		holderOf(service, poolDataCentre) {
			const tenure = poolDataCentre === dataCentre ? state.pools[service]?.followed : remoteHolders.holderOf(service, poolDataCentre);
			return tenure && {vm: tenure.holder, epoch: tenure.epoch};
		},
		ownEpoch,
		isHeldHere: (service, poolDataCentre) => poolDataCentre === dataCentre && ownEpoch(service) !== undefined,
		onChange(listener) {
			listeners.push(listener);
		},
		leave() {
			handle({kind: 'leave'});
		},
		stop() {
			isStopped = true;
		},
	};
};
