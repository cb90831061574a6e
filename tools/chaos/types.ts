import {type Interval} from '../load/intervals.js';
import {type LoadResult} from '../load/run-load.js';

/** Kinds of faults that a schedule can contain. */
export const faultKinds = [
	'kill-router',
	'pause-router',
	'replace-router',
	'cut-data-centre',
	'platform-hang',
	'platform-refuse',
	'platform-slow',
	'lose-platform-answers',
	'restart-target',
	'drop-streams',
	'late-answers',
	'crossed-answers',
	'lose-answers',
	'drain-target',
	'take-data-centre-out',
	'race-operators',
] as const;

export type FaultKind = typeof faultKinds[number];

/** One fault of a schedule. */
export type ScheduledFault = {
	/** Time after the start of the load. */
	readonly atMs: number;
	readonly kind: FaultKind;
	/** Id of a router, target or data centre, or `platform`. */
	readonly place: string;
	/** Duration of the fault; 0 for a single event. */
	readonly forMs: number;
};

/** Ids of the members of the fleet that a schedule can choose from. */
export type FaultLocations = {
	readonly routers: readonly string[];
	readonly targets: readonly string[];
	/** Targets with a model engine. */
	readonly models: readonly string[];
	readonly dataCentres: readonly string[];
};

/** Interval in which some targets were taken out and may not start requests. */
export type Absence = Interval & {readonly targets: readonly string[]};

/** What the injected faults did. Times are in milliseconds since the epoch. */
export type History = {
	readonly absences: readonly Absence[];
	/** Intervals in which a new configuration could not reach every VM. */
	readonly unreachable: readonly Interval[];
	/** Times at which routers were killed. */
	readonly kills: readonly number[];
	/** Exit codes of routers that were stopped as planned; undefined for one that was killed by a signal. */
	readonly stopCodes: ReadonlyArray<number | undefined>;
	/** Highest configuration version that was accepted. */
	readonly acceptedVersion: number;
};

/** A configuration version read from the metrics page of a VM. */
export type VersionSample = {
	readonly vm: string;
	readonly pid: number;
	readonly atMs: number;
	readonly version: number;
};

/** Records of a run that the checker reads. */
export type RunEvidence = {
	readonly result: LoadResult;
	readonly history: History;
	readonly samples: readonly VersionSample[];
	/** Ids of targets by address. */
	readonly targetIds: ReadonlyMap<string, string>;
	/** Configuration versions of all VMs at the end of the run; 0 for a VM that shows none. */
	readonly lastVersions: readonly number[];
};

/** Result of the check of one promise of the product. */
export type Verdict = {
	readonly promise: string;
	readonly holds: boolean;
	readonly details: readonly string[];
};
