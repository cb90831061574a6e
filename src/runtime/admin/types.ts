import {type Registry} from 'prom-client';
import {type Row} from '../../core/language/evaluate-query.js';
import {type TableName} from '../../core/language/types.js';
import {type FleetConfig} from '../../core/config/fleet-config.js';
import {type Proposal} from '../config/propose-config.js';
import {type Log} from '../observe/log.js';

/** A VM, or the platform, whose rows are missing from a response. */
export type MissingPart = {
	readonly vm: string;
	readonly reason: string;
};

/** Rows of one table from the whole fleet. Several VMs may each report a row of the same object. */
export type FleetRows = {
	readonly rows: readonly Row[];
	readonly missing: readonly MissingPart[];
};

/** Options of the operators' interface, with the functions of the router that it uses. */
export type AdminOptions = {
	/** IP:PORT to listen on; port 0 lets the system choose. */
	readonly address: string;
	/** Whether calls from loopback need no token while no operator has one. */
	readonly bootstrapFromLoopback: boolean;
	readonly registry: Registry;
	readonly log: Log;
	/** Returns whether the router accepts requests: false while it starts and while it stops. */
	readonly isReady: () => boolean;
	/** Returns the active configuration of this VM. */
	readonly currentConfig: () => FleetConfig | undefined;
	/** Reads a table from every reachable VM. */
	readonly readTable: (table: TableName) => Promise<FleetRows>;
	/** Returns an earlier configuration version, or undefined if it does not exist. */
	readonly readVersion: (version: number) => Promise<FleetConfig | undefined>;
	/** Writes a configuration version, or throws a typed error such as `ConfigConflict`. */
	readonly proposeConfig: (proposal: Proposal) => Promise<{readonly version: number}>;
};

/** A running operators' interface. */
export type Admin = {
	/** IP:PORT that the interface listens on. */
	readonly address: string;
	/** Finishes open calls and stops listening. */
	readonly close: () => Promise<void>;
};
