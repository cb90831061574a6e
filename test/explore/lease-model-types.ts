/** Types and constants of the lease model. */
import {
	type LeaseState, type LeaseTiming, type Tenure,
} from '../../src/core/lease/types.js';

export const service = 'pool';
export const longAgoMs = -100_000;

export const modelTiming: LeaseTiming = {
	leaseMs: 3000,
	renewIntervalMs: 1000,
	slotLeaseMs: 1000,
	clockMarginMs: 0,
	rankDelayMs: 0,
	platformRetryDelayMs: 0,
	platformDownAfterMs: 1000,
	rebalanceAfterMs: 1_000_000,
	claimTimeoutMs: 4000,
};

/** Mechanisms that can be switched off, to check that the explorer finds the violations that they prevent. */
export type Mechanisms = {
	/** A restarted VM confirms no lease holder for the length of a lease. */
	readonly hasQuarantine: boolean;
	/** A VM confirms a new lease holder only when the former holder can no longer count the VM's confirmation. */
	readonly refusesRivals: boolean;
	/** A confirmation is valid from when the echoed heartbeat was sent, not from when the echo arrived. */
	readonly usesEcho: boolean;
	/** A holder checks its lease at each grant, not only at ticks. */
	readonly checksAtGrant: boolean;
	/** A claimant takes a lease row over only after the row has not changed for the length of a lease. */
	readonly watchesRow: boolean;
};

export const allMechanisms: Mechanisms = {
	hasQuarantine: true, refusesRivals: true, usesEcho: true, checksAtGrant: true, watchesRow: true,
};

export type PeerHeartbeat = {readonly heardMs: number; readonly peerSentMs: number; readonly confirmedMs: number | undefined; readonly hears: readonly string[]};
export type ModelFrame = {
	readonly sentMs: number;
	readonly echoMs: number;
	readonly hears: readonly string[];
	readonly notices: ReadonlyArray<Tenure & {readonly isHandover: boolean; readonly successor: string | undefined}>;
};
export type ModelVm = {readonly tickedMs: number; readonly lease: LeaseState; readonly heartbeats: Readonly<Record<string, PeerHeartbeat>>; readonly outbox: ModelFrame['notices']};
export type Row = Tenure & {readonly revision: number};

export type LeaseModelState = {
	readonly nowMs: number;
	readonly vms: Readonly<Record<string, ModelVm>>;
	/** Frames in transit by `from>to`, in the order in which they were sent. */
	readonly channels: Readonly<Record<string, readonly ModelFrame[]>>;
	readonly row: Row | undefined;
	readonly faultsLeft: number;
	/** Holder and epoch of the latest grant. */
	readonly grants: readonly Tenure[];
	readonly violation: string | undefined;
};

export type PlatformMode = 'up' | 'down' | 'answer_lost';

export type LeaseAction =
	| {readonly kind: 'advance'}
	| {readonly kind: 'tick'; readonly vm: string; readonly platform: PlatformMode}
	| {readonly kind: 'deliver' | 'lose'; readonly channel: string}
	| {readonly kind: 'restart' | 'leave' | 'grant'; readonly vm: string};

export type LeaseModelOptions = {
	readonly vms: readonly string[];
	/** The VM that holds the pool's lease at the start. All VMs follow it. */
	readonly holder: string;
	/** How the platform may respond to each VM. */
	readonly platform: Readonly<Record<string, readonly PlatformMode[]>>;
	readonly faults: ReadonlyArray<'lose' | 'restart' | 'leave'>;
	/** Most losses, restarts and leaves in one sequence of actions. */
	readonly maxFaults: number;
	readonly mechanisms?: Mechanisms;
	readonly slotLeaseMs?: number;
	/** Actions that lead to the state from which all sequences are explored. */
	readonly prefix?: readonly LeaseAction[];
};

export type LeaseModel = Required<LeaseModelOptions>;
