import {type Interval} from '../load/intervals.js';
import {type LoadResult} from '../load/run-load.js';

/** Failures that a schedule can bring about. */
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

/** One failure of a schedule. */
export type ScheduledFault = {
	/** Time after the start of the load. */
	readonly atMs: number;
	readonly kind: FaultKind;
	/** Id of a router, target or data centre, or `platform`. */
	readonly place: string;
	/** How long it lasts; 0 for a single event. */
	readonly forMs: number;
};

/** What a schedule can choose from. */
export type FaultLocations = {
	readonly routers: readonly string[];
	readonly targets: readonly string[];
	readonly models: readonly string[];
	readonly dataCentres: readonly string[];
};

/** Time in which some targets may start nothing new. */
export type Absence = Interval & {readonly targets: readonly string[]};

/** What the schedule really did, in milliseconds since the epoch. */
export type History = {
	readonly absences: readonly Absence[];
	/** Times in which word of a new configuration could not reach every VM. */
	readonly unreachable: readonly Interval[];
	/** Moments at which routers were killed. */
	readonly kills: readonly number[];
	/** Exit codes of routers that were stopped as planned. */
	readonly stopCodes: ReadonlyArray<number | undefined>;
	/** Highest configuration version that was accepted. */
	readonly acceptedVersion: number;
};

/** A configuration version seen on a VM's metrics page. */
export type VersionSample = {
	readonly vm: string;
	readonly pid: number;
	readonly atMs: number;
	readonly version: number;
};

/** All that a run leaves for the checker. */
export type RunEvidence = {
	readonly result: LoadResult;
	readonly history: History;
	readonly samples: readonly VersionSample[];
	/** Ids of targets by address. */
	readonly targetIds: ReadonlyMap<string, string>;
	/** Versions of all VMs when the time to settle was over. */
	readonly lastVersions: readonly number[];
};

/** Whether one promise held. */
export type Verdict = {
	readonly promise: string;
	readonly holds: boolean;
	readonly details: readonly string[];
};
