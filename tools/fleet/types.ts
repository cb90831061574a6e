import {type FleetConfig} from '../../src/core/config/fleet-config.js';

type Fields = Readonly<Record<string, unknown>>;

/** Targets of one service in one data centre. */
export type TargetsSpec = {
	readonly service: string;
	readonly count: number;
	/** Settings of the stand-in, as in its file. */
	readonly settings?: Fields;
	/** Contract in the fleet configuration. */
	readonly contract?: Fields;
};

export type DataCentreSpec = {
	readonly name: string;
	readonly routers: number;
	readonly targets: readonly TargetsSpec[];
};

export type ServiceSpec = {
	readonly name: string;
	/** Which stand-in its targets are. */
	readonly standin: 'engine' | 'ledger';
	/** The service in the fleet configuration. */
	readonly config: Fields;
};

export type TeamSpec = {
	readonly name: string;
	readonly token: string;
	readonly weight: number;
	readonly maxQueued?: number;
};

/** Which connections pass through the fault proxy. */
export type ProxySpec = {
	/** Between routers, both ways: links `FROM>TO`. */
	readonly control: boolean;
	/** From routers to the platform: links `ROUTER>platform`. */
	readonly platform: boolean;
	/** From all routers to a target: links `>TARGET`. */
	readonly targets: boolean;
};

/** A whole fleet on loopback. */
export type FleetSpec = {
	readonly dataCentres: readonly DataCentreSpec[];
	readonly services: readonly ServiceSpec[];
	readonly teams: readonly TeamSpec[];
	/** Tokens of operators by name. */
	readonly operators?: Readonly<Record<string, string>>;
	readonly sharing?: Fields;
	readonly proxies?: Partial<ProxySpec>;
	/** Tables of the routers' settings beside those that the launcher writes. */
	readonly routerSettings?: Fields;
	/** Settings of the platform stand-in. */
	readonly platform?: Fields;
	/** Time for the whole fleet to become ready. */
	readonly readyTimeoutMs?: number;
};

/** One router of a running fleet. */
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
	/** Where it listens. */
	readonly address: string;
	/** Where routers reach it: a link of the proxy, or the same. */
	readonly via: string;
};

export type ConfigChange = (document: FleetConfig) => Fields;
