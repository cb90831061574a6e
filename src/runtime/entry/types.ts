/** What the callers' interface is given and what it offers. */
import {type SecureContextOptions} from 'node:tls';
import {type Clock} from '../../core/clock.js';
import {type Scheduler} from '../../core/dispatch/types.js';
import {type FleetConfig} from '../../core/config/fleet-config.js';
import {type Claims} from '../claims/types.js';
import {type Log} from '../observe/log.js';
import {type Metrics} from '../observe/metrics.js';
import {type RequestRegister} from '../observe/request-register.js';

/** Limits on what callers may send; each has a refusal of its own. */
export type EntryLimits = {
	readonly bodyBytes: number;
	readonly headerBytes: number;
	/** Milliseconds within which a whole request must arrive. */
	readonly readTimeoutMs: number;
	/** Requests of one team that may be open at once. */
	readonly connectionsPerTeam: number;
};

/** Everything that requests share. */
export type EntryContext = {
	/** The configuration in force; undefined until there is one. */
	readonly config: () => FleetConfig | undefined;
	readonly scheduler: Scheduler;
	readonly clock: Clock;
	/** Uniform in [0, 1). */
	readonly random: () => number;
	readonly metrics: Metrics;
	/** Told of every request and refusal, for operators' queries. */
	readonly register?: RequestRegister;
	readonly log: Log;
	readonly claims: Claims;
	readonly limits: EntryLimits;
	/** Milliseconds without a byte after which a stream counts as broken; 10 s if absent. */
	readonly stallMs?: number;
};

export type EntryOptions = EntryContext & {
	/** IP number and port to listen on; port 0 takes a free one. */
	readonly listen: {readonly host: string; readonly port: number};
	readonly tls?: SecureContextOptions;
};

export type Entry = {
	/** `host:port` in use. */
	readonly address: string;
	/** Takes new TLS keys for connections from now on. */
	readonly reloadTls: (tls: SecureContextOptions) => void;
	/** Ends callers' connections with their next answers, and still takes requests. */
	readonly leave: () => void;
	/**
	 * Graceful stop: takes no new connection, serves every open request to its end and
	 * closes each connection after its answer.
	 */
	readonly close: () => Promise<void>;
};
