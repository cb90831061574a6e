/** The VMs of the fleet as seen by one of them. */

/**
 * - `joining`: listed or configured, but no message from it has arrived yet
 * - `alive`: a message arrived within the heartbeat timeout
 * - `suspect`: messages arrived before, but none within the timeout, or the link is down
 * - `leaving`: about to stop, according to its own heartbeat or the platform's list
 * - `gone`: not listed and without a message for a long time, or replaced
 */
export type VmState = 'joining' | 'alive' | 'suspect' | 'leaving' | 'gone';

export type Vm = {
	readonly id: string;
	readonly dataCentre: string;
	/** `IP:PORT` of the interface for other VMs. */
	readonly control: string;
	/** `IP:PORT` of the interface for operators; empty when not known. */
	readonly admin: string;
	readonly state: VmState;
	/** Whether the platform lists it as live. */
	readonly listed: boolean;
	/** Whether the settings name it. */
	readonly isSeed: boolean;
	/** Identifies the process that sent the last message; differs after a restart. */
	readonly incarnation: string | undefined;
	/** When the last message from the VM arrived, and since when messages of its present process have arrived without a gap. */
	readonly heardMs: number | undefined;
	readonly heardSinceMs: number | undefined;
	/** VMs from which it receives messages, according to its latest heartbeat. */
	readonly heard: ReadonlySet<string>;
	/** The latest clock reading of the VM that keeps this record, as echoed by the VM that the record describes. */
	readonly confirmedMs: number | undefined;
	readonly configVersion: number;
};

/** A VM that the settings or the platform's list name. */
export type KnownVm = {
	readonly id: string;
	readonly dataCentre: string;
	readonly control: string;
	readonly admin: string;
	readonly state: 'live' | 'leaving';
};

export type HeartbeatMessage = {
	readonly kind: 'heartbeat';
	readonly from: {readonly vm: string; readonly dataCentre: string; readonly incarnation: string};
	/** VMs from which the sender receives messages; `undefined` when they have not changed. */
	readonly heard: readonly string[] | undefined;
	readonly isLeaving: boolean;
	readonly configVersion: number;
	/** The sender's clock reading, which the receiver echoes. */
	readonly sentMs: number;
	/** The latest reading of this VM's clock that the sender has received; 0 for none. */
	readonly echoMs: number;
};

export type MembershipMessage =
	/** The platform's list of VMs, which may be some time behind. */
	| {readonly kind: 'list'; readonly vms: readonly KnownVm[]}
	| HeartbeatMessage
	/** Any other frame from a VM. */
	| {readonly kind: 'heard'; readonly from: HeartbeatMessage['from']}
	/** The link to a VM broke; the VM is suspect until another message from it arrives. */
	| {readonly kind: 'link_down'; readonly vm: string}
	/** This VM begins to leave. */
	| {readonly kind: 'leave'}
	| {readonly kind: 'tick'};

/** The part of a heartbeat that this VM sends about itself and the VMs from which it receives messages. */
export type OwnHeartbeat = {
	readonly heard: readonly string[];
	readonly isLeaving: boolean;
	readonly sentMs: number;
	readonly echoMs: number;
};

export type MembershipOptions = {
	readonly self: KnownVm & {readonly incarnation: string};
	readonly seeds: readonly KnownVm[];
	/** Milliseconds without a message after which a VM is suspect. */
	readonly heartbeatTimeoutMs?: number;
};

export type Membership = {
	/** Handles a message. Returns whether anything but the times in `vms` changed. */
	readonly handle: (message: MembershipMessage, nowMs: number) => boolean;
	/** Returns all VMs that are not gone, including this one, ordered by id. */
	readonly vms: () => readonly Vm[];
	readonly vm: (id: string) => Vm | undefined;
	/** Returns when the platform's list was last read; undefined before the first read. */
	readonly listReadMs: () => number | undefined;
	readonly heartbeatFor: (vm: string, nowMs: number) => OwnHeartbeat;
};
