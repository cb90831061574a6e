/**
 * Maintains this VM's known state of the fleet: polls the platform's VM list, sends heartbeats
 * to the linked peers and handles the heartbeats of peers.
 */
import {type Clock} from '../../core/clock.js';
import {linkPeers} from '../../core/membership/link-peers.js';
import {createMembership} from '../../core/membership/membership.js';
import {type KnownVm, type MembershipMessage} from '../../core/membership/types.js';
import {type PlatformClient} from '../platform/types.js';
import {type Every} from './every.js';
import {type LinkPort, type MembershipTask} from './types.js';

/** Default of the milliseconds between heartbeats to each linked peer. */
export const HEARTBEAT_MS = 300;

/** Number of linked peers above which the interval between heartbeats doubles. */
const MANY_PEERS = 30;

/** Number of heartbeats to a peer, after each change of the list of VMs that are reachable from this VM, that carry the list. Later heartbeats omit it. */
const HEARD_REPEATS = 3;

/** Most reads of the platform's VM list per second by the whole fleet. */
const LIST_READS_PER_S = 5;
/** Shortest interval between reads of the platform's VM list by this VM. */
const LIST_INTERVAL_MS = 2000;
const MS_PER_SECOND = 1000;

export type MembershipTaskOptions = {
	readonly self: KnownVm & {readonly incarnation: string};
	readonly seeds: readonly KnownVm[];
	readonly clock: Clock;
	readonly every: Every;
	readonly platform: Pick<PlatformClient, 'listVms'>;
	readonly links: LinkPort;
	/** Returns the configuration version that heartbeats report. */
	readonly configVersion: () => number;
	/** Milliseconds between heartbeats to each linked peer. */
	readonly heartbeatMs?: number;
	readonly heartbeatTimeoutMs?: number;
};

export const createMembershipTask = ({self, seeds, clock, every, platform, links, configVersion, heartbeatMs = HEARTBEAT_MS, heartbeatTimeoutMs}: MembershipTaskOptions): MembershipTask => {
	const state = createMembership({self, seeds, ...(heartbeatTimeoutMs !== undefined && {heartbeatTimeoutMs})});
	const changeListeners: Array<() => void> = [];
	const heartbeatListeners: Array<() => void> = [];
	const linked = new Set<string>();
	const sentHeard = new Map<string, {readonly heard: string; readonly times: number}>();
	let needed: ReadonlySet<string> = new Set();

	const handle = (message: MembershipMessage): void => {
		if (state.handle(message, clock.nowMs())) {
			for (const listener of changeListeners) {
				listener();
			}
		}
	};

	/** Counts a heartbeat to a peer while the list of reachable VMs is `heard`. Returns whether the list has been sent so often that this heartbeat may omit it. */
	const mayOmitHeard = (vm: string, heard: string): boolean => {
		const sent = sentHeard.get(vm);
		const times = sent?.heard === heard ? sent.times : 0;
		sentHeard.set(vm, {heard, times: times + 1});
		return times >= HEARD_REPEATS;
	};

	const sendHeartbeat = (vm: string): void => {
		const {heard, isLeaving, sentMs, echoMs} = state.heartbeatFor(vm, clock.nowMs());
		const sameHeard = mayOmitHeard(vm, heard.join(' '));
		links.queue(vm, {
			heartbeat: {
				heard: sameHeard ? [] : [...heard], sameHeard, leaving: isLeaving, configVersion: BigInt(configVersion()), sentMs, echoMs,
			},
		});
	};

	const sendHeartbeats = (): void => {
		handle({kind: 'tick'});
		for (const listener of heartbeatListeners) {
			listener();
		}

		for (const vm of linked) {
			sendHeartbeat(vm);
		}
	};

	const readList = async (): Promise<void> => {
		const result = await platform.listVms();
		if (result.kind === 'found') {
			handle({kind: 'list', vms: result.value});
		}
	};

	links.onFrame((from, {heartbeat}) => {
		if (!heartbeat) {
			handle({kind: 'heard', from});
			return;
		}

		handle({
			kind: 'heartbeat',
			from,
			heard: heartbeat.sameHeard ? undefined : heartbeat.heard,
			isLeaving: heartbeat.leaving,
			configVersion: Number(heartbeat.configVersion),
			sentMs: heartbeat.sentMs,
			echoMs: heartbeat.echoMs,
		});
	});

	links.onPeer(event => {
		if (event.state === 'up') {
			linked.add(event.vm);
			sentHeard.delete(event.vm);
			sendHeartbeat(event.vm);
		} else {
			linked.delete(event.vm);
			handle({kind: 'link_down', vm: event.vm});
		}
	});

	const listIntervalMs = (): number => Math.max(LIST_INTERVAL_MS, state.vms().length * MS_PER_SECOND / LIST_READS_PER_S);
	handle({kind: 'tick'});
	void readList();
	const stops = [
		every(() => linked.size > MANY_PEERS ? 2 * heartbeatMs : heartbeatMs, sendHeartbeats),
		every(listIntervalMs, () => {
			void readList();
		}),
	];

	return {
		selfId: self.id,
		dataCentre: self.dataCentre,
		state,
		vms: () => state.vms(),
		vm: id => state.vm(id),
		listReadMs: () => state.listReadMs(),
		aliveIn: dataCentre => state.vms().filter(vm => vm.dataCentre === dataCentre && vm.state === 'alive'),
		onChange(listener) {
			changeListeners.push(listener);
		},
		onHeartbeat(listener) {
			heartbeatListeners.push(listener);
		},
		linkPeers() {
			const own = state.vm(self.id);
			return own ? linkPeers(own, state.vms(), needed).filter(vm => vm.control !== '') : [];
		},
		need(vms) {
			needed = vms;
			for (const listener of changeListeners) {
				listener();
			}
		},
		leave() {
			handle({kind: 'leave'});
			sendHeartbeats();
		},
		stop() {
			for (const stop of stops) {
				stop();
			}
		},
	};
};
