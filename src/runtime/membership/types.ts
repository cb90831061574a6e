/** Types of the membership task, and of the functions of links that the membership, configuration and lease tasks use. */
import {type MessageInitShape} from '@bufbuild/protobuf';
import {type Membership, type Vm} from '../../core/membership/types.js';
import {type Frame, type FrameSchema} from '../../gen/jackdawwood/v1/control_pb.js';

/** A peer's identity, as its `Hello` states it. */
export type Sender = {
	readonly vm: string;
	readonly dataCentre: string;
	readonly incarnation: string;
};

type FrameInit = Exclude<MessageInitShape<typeof FrameSchema>, Frame>;

/** The parts of a frame that the membership, configuration and lease tasks send. */
export type StatePart = Pick<FrameInit, 'heartbeat' | 'config' | 'leases'>;

/** The functions of the links that the tasks use. */
export type LinkPort = {
	readonly queue: (vm: string, part: StatePart) => void;
	readonly onFrame: (listener: (from: Sender, frame: Frame) => void) => void;
	readonly onPeer: (listener: (event: {readonly vm: string; readonly state: 'up' | 'down'}) => void) => void;
};

/** Read access to the VMs of the fleet, for other tasks. */
export type MembershipView = {
	readonly selfId: string;
	readonly dataCentre: string;
	/** Returns this VM and all others that are not in state `gone`. */
	readonly vms: () => readonly Vm[];
	readonly vm: (id: string) => Vm | undefined;
	/** Returns the alive VMs of a data centre, which may include this VM. */
	readonly aliveIn: (dataCentre: string) => readonly Vm[];
	/** Returns the time of the last successful read of the platform's VM list, in monotonic milliseconds. */
	readonly listReadMs: () => number | undefined;
	/** Adds a listener that is called after each change of a VM's state or address, and after `need`. */
	readonly onChange: (listener: () => void) => void;
	/** Adds a listener that is called before each round of heartbeats; parts that it queues are sent in the same frames. */
	readonly onHeartbeat: (listener: () => void) => void;
};

export type MembershipTask = MembershipView & {
	/** Returns the VMs to keep links with. */
	readonly linkPeers: () => readonly Vm[];
	/** Sets the VMs of other data centres that this VM must keep links with. */
	readonly need: (vms: ReadonlySet<string>) => void;
	/** Notifies the peers that this VM is leaving. */
	readonly leave: () => void;
	readonly state: Membership;
	readonly stop: () => void;
};
