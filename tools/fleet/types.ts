import {type FleetConfig} from '../../src/core/config/fleet-config.js';

type Fields = Readonly<Record<string, unknown>>;

/** Targets of one service in one data centre. */
export type TargetsSpec = {
	readonly service: string;
	readonly count: number;
	/** Settings of the stand-in, with the keys of its settings file. */
	readonly settings?: Fields;
	/** The `contract` of the targets in the fleet configuration. */
	readonly contract?: Fields;
};

export type DataCentreSpec = {
	readonly name: string;
	readonly routers: number;
	readonly targets: readonly TargetsSpec[];
};

export type ServiceSpec = {
	readonly name: string;
	/** Stand-in that its targets run. */
	readonly standin: 'engine' | 'ledger';
	/** The entry of the service in the fleet configuration. */
	readonly config: Fields;
};

export type TeamSpec = {
	readonly name: string;
	readonly token: string;
	readonly weight: number;
	readonly maxQueued?: number;
};

/** The connections that pass through the fault proxy. */
export type ProxySpec = {
	/** Connections between routers, in both directions: links `FROM>TO`. */
	readonly control: boolean;
	/** Connections from routers to the platform: links `ROUTER>platform`. */
	readonly platform: boolean;
	/** Connections from routers to targets: links `>TARGET`, each shared by all routers. */
	readonly targets: boolean;
};

/** Description of a fleet whose processes all listen on loopback. */
export type FleetSpec = {
	readonly dataCentres: readonly DataCentreSpec[];
	readonly services: readonly ServiceSpec[];
	readonly teams: readonly TeamSpec[];
	/** Token of each operator, by the name of the operator. */
	readonly operators?: Readonly<Record<string, string>>;
	readonly sharing?: Fields;
	readonly proxies?: Partial<ProxySpec>;
	/** Tables that are added to the settings of every router; keys that the launcher writes have precedence. */
	readonly routerSettings?: Fields;
	/** Settings of the platform stand-in. */
	readonly platform?: Fields;
	/** Time within which each process must become ready, in milliseconds. */
	readonly readyTimeoutMs?: number;
};

/** One router of a running fleet, with the addresses at which it listens for callers, other VMs and administrators. */
export type RouterInfo = {
	readonly id: string;
	readonly dataCentre: string;
	readonly callers: string;
	readonly control: string;
	readonly admin: string;
};

/** One target of a running fleet. */
export type TargetInfo = {
	readonly id: string;
	readonly service: string;
	readonly dataCentre: string;
	readonly contract: Fields;
	/** Address at which the target listens. */
	readonly address: string;
	/** Address at which routers reach the target: a link of the proxy, or the same as `address`. */
	readonly via: string;
};

export type ConfigChange = (document: FleetConfig) => Fields;
