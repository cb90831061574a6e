import {type Registry} from 'prom-client';
import {type Row} from '../../core/language/evaluate-query.js';
import {type TableName} from '../../core/language/types.js';
import {type FleetConfig} from '../../core/config/fleet-config.js';
import {type Proposal} from '../config/propose-config.js';
import {type Log} from '../observe/log.js';

/** A VM whose rows are missing from an answer. */
export type MissingPart = {
	readonly vm: string;
	readonly reason: string;
};

/** Rows of the whole fleet; several VMs may report the same thing. */
export type FleetRows = {
	readonly rows: readonly Row[];
	readonly missing: readonly MissingPart[];
};

/** What the operators' interface needs from the router. */
export type AdminOptions = {
	/** IP:PORT to listen on; port 0 lets the system choose. */
	readonly address: string;
	/** Whether calls from this VM need no token while no operator has one. */
	readonly bootstrapFromLoopback: boolean;
	readonly registry: Registry;
	readonly log: Log;
	/** False until the router takes requests, and again while it stops. */
	readonly isReady: () => boolean;
	/** The configuration version in force at this VM. */
	readonly currentConfig: () => FleetConfig | undefined;
	/** Reads a table from every VM that can be reached. */
	readonly readTable: (table: TableName) => Promise<FleetRows>;
	/** An earlier configuration version; undefined when there is none. */
	readonly readVersion: (version: number) => Promise<FleetConfig | undefined>;
	/** Writes a configuration version, or throws a typed error such as `ConfigConflict`. */
	readonly proposeConfig: (proposal: Proposal) => Promise<{readonly version: number}>;
};

/** A running operators' interface. */
export type Admin = {
	/** IP:PORT that it listens on. */
	readonly address: string;
	/** Finishes open calls and stops listening. */
	readonly close: () => Promise<void>;
};
