/** What an experiment consists of. */
import {type Fleet} from '../fleet/fleet.js';
import {type Interval} from '../load/intervals.js';

export type SizeName = 'tariff' | 'viljaveo';
export type PolicyName = 'fleet' | 'local-drr' | 'least-loaded';

/** One kind of request of an experiment's load. */
export type MixSpec = {
	readonly service: string;
	readonly kind: 'completion' | 'chat' | 'debit' | 'read';
	readonly weight: number;
	readonly streamed?: number;
	readonly cost?: {readonly distribution: 'uniform' | 'log_uniform'; readonly min: number; readonly max: number};
};

/** One team of an experiment's load. */
export type TeamLoadSpec = {
	readonly name: string;
	readonly weight: number;
	/** Requests at once in a closed loop. */
	readonly concurrency: number;
	/** Requests a second in an open loop; absent in a closed one. */
	readonly ratePerS?: number;
	readonly mix: readonly MixSpec[];
	readonly hintError?: number;
	readonly deadlineMs?: number;
	readonly maxRetries?: number;
	/** Indices of the routers it uses; all if absent. */
	readonly routers?: readonly number[];
};

/** Time in which a place may not get new work. */
export type Absence = Interval & {readonly targets: readonly string[]};

/** What a schedule of faults did, for the figures. */
export type FaultHistory = {
	/** Places that had left or were taken out. */
	readonly absences: readonly Absence[];
	/** Times in which routers could not reach each other, with the time to settle after. */
	readonly partitions: readonly Interval[];
};

export type Schedule = (fleet: Fleet, say: (line: string) => void) => Promise<FaultHistory>;

export type Experiment = {
	readonly name: string;
	readonly description: string;
	readonly durationMs: number;
	/** Passes the links between routers and to the platform through the fault proxy. */
	readonly needsProxy?: boolean;
	/** Time of one engine step, in milliseconds. */
	readonly stepMs?: number;
	readonly teams: (routers: number) => readonly TeamLoadSpec[];
	readonly schedule?: Schedule;
};

export type RunOptions = {
	readonly size: SizeName;
	readonly policy: PolicyName;
	readonly seed: number;
	/** Milliseconds between reports to a dispatcher; the default if absent. */
	readonly tickMs?: number;
	readonly durationMs?: number;
	readonly say: (line: string) => void;
};
