/** States and actions of the model of leases. */
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

/** Mechanisms that can be taken out, to see the explorer find what they prevent. */
export type Mechanisms = {
	/** A restarted VM confirms nobody for a lease. */
	readonly hasQuarantine: boolean;
	/** A VM confirms a new holder only when the former cannot count on it. */
	readonly refusesRivals: boolean;
	/** A confirmation counts from when the echoed heartbeat was sent, not from its arrival. */
	readonly usesEcho: boolean;
	/** A lease is checked at each grant, not at ticks only. */
	readonly checksAtGrant: boolean;
	/** A row is watched for a lease before it is taken. */
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
	/** Frames under way by `from>to`, in order. */
	readonly channels: Readonly<Record<string, readonly ModelFrame[]>>;
	readonly row: Row | undefined;
	readonly faultsLeft: number;
	/** Epochs under which VMs have granted, the latest last. */
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
	/** The VM that holds the pool at the start; all follow it. */
	readonly holder: string;
	/** How the platform may answer each VM. */
	readonly platform: Readonly<Record<string, readonly PlatformMode[]>>;
	readonly faults: ReadonlyArray<'lose' | 'restart' | 'leave'>;
	/** Losses, restarts and leaves in one run, at most. */
	readonly maxFaults: number;
	readonly mechanisms?: Mechanisms;
	readonly slotLeaseMs?: number;
	/** Actions that lead to the state from which all orders are tried. */
	readonly prefix?: readonly LeaseAction[];
};

export type LeaseModel = Required<LeaseModelOptions>;
