/** Options and methods of the HTTP interface for callers. */
import {type SecureContextOptions} from 'node:tls';
import {type Clock} from '../../core/clock.js';
import {type Scheduler} from '../../core/dispatch/types.js';
import {type FleetConfig} from '../../core/config/fleet-config.js';
import {type Claims} from '../claims/types.js';
import {type Log} from '../observe/log.js';
import {type Metrics} from '../observe/metrics.js';
import {type RequestRegister} from '../observe/request-register.js';

/** Limits on what callers may send. Each limit has its own refusal. */
export type EntryLimits = {
	readonly bodyBytes: number;
	readonly headerBytes: number;
	/** Milliseconds within which a complete request must arrive. */
	readonly readTimeoutMs: number;
	/** Most requests of one team that may be open at once. */
	readonly connectionsPerTeam: number;
};

/** Dependencies and limits that all requests share. */
export type EntryContext = {
	/** Returns the active configuration, or undefined until there is one. */
	readonly config: () => FleetConfig | undefined;
	readonly scheduler: Scheduler;
	readonly clock: Clock;
	/** Returns a random number, uniform in [0, 1). */
	readonly random: () => number;
	readonly metrics: Metrics;
	/** Records every request and refusal, for operators' queries. */
	readonly register?: RequestRegister;
	readonly log: Log;
	readonly claims: Claims;
	readonly limits: EntryLimits;
	/** Milliseconds without a byte after which a stream is treated as broken; 10 s if absent. */
	readonly stallMs?: number;
};

export type EntryOptions = EntryContext & {
	/** IP address and port to listen on; with port 0 the system assigns a free one. */
	readonly listen: {readonly host: string; readonly port: number};
	readonly tls?: SecureContextOptions;
};

export type Entry = {
	/** Address that the interface listens on, as `host:port`. */
	readonly address: string;
	/** Uses new TLS keys for connections that are opened from now on. */
	readonly reloadTls: (tls: SecureContextOptions) => void;
	/** Closes callers' connections after their next responses, while requests are still accepted. */
	readonly leave: () => void;
	/**
	 * Stops gracefully: accepts no new connection, serves every open request to its end and
	 * closes each connection after its response.
	 */
	readonly close: () => Promise<void>;
};
