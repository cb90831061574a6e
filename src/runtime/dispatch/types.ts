/** Interfaces of the dispatch task to the other tasks of a VM, and of the schedulers of its services. */
import {type Clock} from '../../core/clock.js';
import {type FleetConfig} from '../../core/config/fleet-config.js';
import {type Allotment, type Exchange, type Report} from '../../core/dispatch/messages.js';
import {type PoolDispatcher} from '../../core/dispatch/pool-dispatcher.js';
import {type MemberEffect, type PoolMember} from '../../core/dispatch/pool-member.js';
import {
	type DispatchRequest, type Grant, type GrantResult, type Scheduler,
} from '../../core/dispatch/types.js';
import {type LoadReport} from '../../core/target/types.js';
import {type LeaseView} from '../lease/types.js';
import {type FramePart, type FrameListener} from '../link/types.js';
import {type Log} from '../observe/log.js';

/** The links to other VMs, as the dispatch uses them. */
export type DispatchLinks = {
	readonly queue: (vm: string, part: FramePart) => void;
	readonly flush: (vm?: string) => void;
	readonly onFrame: (listener: FrameListener) => void;
};

/** Settings of this VM that override the sharing rules of the fleet configuration. */
export type TimingOverrides = {
	readonly tickMs?: number | undefined;
	readonly idleTickMs?: number | undefined;
	readonly slotLeaseMs?: number | undefined;
};

export type DispatchOptions = {
	readonly vm: string;
	readonly dataCentre: string;
	readonly incarnation: string;
	readonly clock: Clock;
	readonly config: () => FleetConfig | undefined;
	readonly leases: LeaseView;
	readonly links: DispatchLinks;
	/** Returns the VMs of this data centre that are alive, including this one. */
	readonly aliveVms: () => readonly string[];
	/** Returns the number of VMs of the whole fleet that are alive. */
	readonly fleetSize: () => number;
	readonly overrides: TimingOverrides;
	/** Scheduling policy. All but `fleet` are baselines for comparison. */
	readonly policy: 'fleet' | 'local-drr' | 'least-loaded';
	readonly log: Log;
};

/** Options of the scheduler of one service. */
export type ServiceOptions = DispatchOptions & {
	readonly service: string;
	/** Queues part of a frame for another VM; it is sent once the current message has been handled. */
	readonly send: (vm: string, part: FramePart) => void;
	readonly onEffects: (effects: readonly MemberEffect[]) => void;
};

/** The scheduler of one service at this VM. Times are monotonic milliseconds of the VM's clock. */
export type ServiceScheduler = {
	readonly service: string;
	/** Defined while this VM dispatches the service's pool. */
	readonly dispatcher: PoolDispatcher | undefined;
	/** Queues the requests of this VM; undefined for a baseline policy. */
	readonly member: PoolMember | undefined;
	readonly queued: number;
	readonly running: number;
	readonly submit: (request: DispatchRequest, nowMs: number) => void;
	readonly withdraw: (request: DispatchRequest) => void;
	readonly isValid: (grant: Grant, nowMs: number) => boolean;
	readonly end: (grant: Grant, result: GrantResult, nowMs: number) => void;
	/** Performs the work that is due at `nowMs`. */
	readonly tick: (nowMs: number) => void;
	readonly onReport: (report: Report, nowMs: number) => void;
	readonly onAllotment: (allotment: Allotment, nowMs: number) => void;
	readonly onExchange: (exchange: Exchange, nowMs: number) => void;
	/** Handles a poll of a target. `report` is undefined if the target returned no valid one. */
	readonly onLoadReport: (target: string, report: LoadReport | undefined, nowMs: number) => void;
	readonly leave: () => void;
	/** Sends the reports that are due ahead of the tick. */
	readonly sendDueReport: (nowMs: number) => void;
};

/** Tables of the operators' language to which the dispatch task contributes rows. */
export type DispatchTable = 'teams' | 'services' | 'targets';

/** Row of a table for operators. */
export type TableRow = Readonly<Record<string, string | number | boolean>>;

export type DispatchTask = {
	readonly scheduler: Scheduler;
	/** Returns the number of queued and of running requests at this VM. */
	readonly open: () => {readonly queued: number; readonly running: number};
	/** Returns the rows of a table from this VM's state. */
	readonly rows: (table: DispatchTable) => readonly TableRow[];
	/** Notifies the dispatchers that this VM accepts no new requests. */
	readonly leave: () => void;
	readonly stop: () => void;
};
