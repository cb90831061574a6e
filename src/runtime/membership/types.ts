/** What the membership, configuration and lease tasks need from the links. */
import {type MessageInitShape} from '@bufbuild/protobuf';
import {type Membership, type Vm} from '../../core/membership/types.js';
import {type Frame, type FrameSchema} from '../../gen/jackdawwood/v1/control_pb.js';

/** A VM as its `Hello` named it. */
export type Sender = {
	readonly vm: string;
	readonly dataCentre: string;
	readonly incarnation: string;
};

type FrameInit = Exclude<MessageInitShape<typeof FrameSchema>, Frame>;

/** The parts of a frame that these tasks send. */
export type StatePart = Pick<FrameInit, 'heartbeat' | 'config' | 'leases'>;

/** The part of the links that the tasks use. */
export type LinkPort = {
	readonly queue: (vm: string, part: StatePart) => void;
	readonly onFrame: (listener: (from: Sender, frame: Frame) => void) => void;
	readonly onPeer: (listener: (event: {readonly vm: string; readonly state: 'up' | 'down'}) => void) => void;
};

/** The VMs of the fleet, for other tasks. */
export type MembershipView = {
	readonly selfId: string;
	readonly dataCentre: string;
	/** All VMs but the gone ones, the own included. */
	readonly vms: () => readonly Vm[];
	readonly vm: (id: string) => Vm | undefined;
	/** Alive VMs of a data centre, the own included. */
	readonly aliveIn: (dataCentre: string) => readonly Vm[];
	/** When the platform's list was read last. */
	readonly listReadMs: () => number | undefined;
	/** Called after each change of a VM's state or address. */
	readonly onChange: (listener: () => void) => void;
	/** Called before each round of heartbeats, so that what is queued travels with it. */
	readonly onHeartbeat: (listener: () => void) => void;
};

export type MembershipTask = MembershipView & {
	/** Peers to link with. */
	readonly linkPeers: () => readonly Vm[];
	/** Names VMs of other data centres that a task exchanges messages with. */
	readonly need: (vms: ReadonlySet<string>) => void;
	/** Tells the peers that this VM is leaving. */
	readonly leave: () => void;
	readonly state: Membership;
	readonly stop: () => void;
};
