/** Types of the experiments, their load and their faults. */
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
	/** Concurrent requests: constant in a closed loop, an upper bound in an open one. */
	readonly concurrency: number;
	/** Mean number of new requests per second in an open loop; absent in a closed one. */
	readonly ratePerS?: number;
	readonly mix: readonly MixSpec[];
	readonly hintError?: number;
	readonly deadlineMs?: number;
	readonly maxRetries?: number;
	/** Indices of the routers that the team sends to; all routers if absent. */
	readonly routers?: readonly number[];
};

/** Time in which targets were out of service and may not get new requests. */
export type Absence = Interval & {readonly targets: readonly string[]};

/** Times of the faults that a schedule injected, for the figures. */
export type FaultHistory = {
	/** Times in which targets were drained, or their data centre was out of service. */
	readonly absences: readonly Absence[];
	/** Times in which routers could not reach each other, with the time after it until shares must be fair again. */
	readonly partitions: readonly Interval[];
};

export type Schedule = (fleet: Fleet, say: (line: string) => void) => Promise<FaultHistory>;

export type Experiment = {
	readonly name: string;
	readonly description: string;
	readonly durationMs: number;
	/** Whether connections between routers and to the platform pass through the fault proxy. */
	readonly needsProxy?: boolean;
	/** Duration of one step of the model engine, in milliseconds. */
	readonly stepMs?: number;
	readonly teams: (routers: number) => readonly TeamLoadSpec[];
	readonly schedule?: Schedule;
};

export type RunOptions = {
	readonly size: SizeName;
	readonly policy: PolicyName;
	readonly seed: number;
	/** Milliseconds between reports to a dispatcher; the fleet configuration's default if absent. */
	readonly tickMs?: number;
	readonly durationMs?: number;
	readonly say: (line: string) => void;
};
