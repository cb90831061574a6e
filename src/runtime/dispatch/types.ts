/** What the dispatch task takes from the other tasks of a VM. */
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

/** The links as the dispatch uses them. */
export type DispatchLinks = {
	readonly queue: (vm: string, part: FramePart) => void;
	readonly flush: (vm?: string) => void;
	readonly onFrame: (listener: FrameListener) => void;
};

/** Settings of this VM that go before the fleet configuration's sharing rules. */
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
	/** Alive VMs of this data centre, the own included. */
	readonly aliveVms: () => readonly string[];
	/** Alive VMs of the whole fleet. */
	readonly fleetSize: () => number;
	readonly overrides: TimingOverrides;
	/** How requests are ordered; all but `fleet` are baselines. */
	readonly policy: 'fleet' | 'local-drr' | 'least-loaded';
	readonly log: Log;
};

/** What the scheduler of one service is given. */
export type ServiceOptions = DispatchOptions & {
	readonly service: string;
	/** Sends a part to another VM once the message at hand has been handled. */
	readonly send: (vm: string, part: FramePart) => void;
	readonly onEffects: (effects: readonly MemberEffect[]) => void;
};

/** The scheduler of one service on this VM. Times are readings of the VM's clock. */
export type ServiceScheduler = {
	readonly service: string;
	/** Set while this VM dispatches the service's pool. */
	readonly dispatcher: PoolDispatcher | undefined;
	/** Holds the asks that wait here; undefined for a baseline. */
	readonly member: PoolMember | undefined;
	readonly queued: number;
	readonly running: number;
	readonly submit: (request: DispatchRequest, nowMs: number) => void;
	readonly withdraw: (request: DispatchRequest) => void;
	readonly isValid: (grant: Grant, nowMs: number) => boolean;
	readonly end: (grant: Grant, result: GrantResult, nowMs: number) => void;
	/** Does what is due by time. */
	readonly tick: (nowMs: number) => void;
	readonly onReport: (report: Report, nowMs: number) => void;
	readonly onAllotment: (allotment: Allotment, nowMs: number) => void;
	readonly onExchange: (exchange: Exchange, nowMs: number) => void;
	/** A target's load report; undefined when it did not answer. */
	readonly onLoadReport: (target: string, report: LoadReport | undefined, nowMs: number) => void;
	readonly leave: () => void;
	/** Sends a report that does not await the tick, if one is due. */
	readonly sendDueReport: (nowMs: number) => void;
};

/** Tables that dispatch knows of. */
export type DispatchTable = 'teams' | 'services' | 'targets';

/** One row of a table for operators. */
export type TableRow = Readonly<Record<string, string | number | boolean>>;

export type DispatchTask = {
	readonly scheduler: Scheduler;
	/** Asks that wait and requests that run here. */
	readonly open: () => {readonly queued: number; readonly running: number};
	/** Rows of a table as this VM sees them. */
	readonly rows: (table: DispatchTable) => readonly TableRow[];
	/** Tells the dispatchers that this VM takes no new work. */
	readonly leave: () => void;
	readonly stop: () => void;
};
