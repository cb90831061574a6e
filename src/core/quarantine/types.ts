/** Messages, effects and reports of the quarantine of prompt parts. */

/** One process of a target: a restart of the target is another process. */
export type TargetProcess = {
	readonly target: string;
	/** Wall-clock milliseconds of its start, as its entry states. */
	readonly bornMs: number;
};

/** A request that was in service at a process when it ended, and whose answer had not lasted long enough to clear it. */
export type SuspectRequest = {
	/** Hash of the request's id. */
	readonly requestHash: number;
	/** Parts of its prompt that it shares with other requests. */
	readonly parts: readonly string[];
};

/** The end of one process, as one or more VMs have seen it. */
export type EndReport = TargetProcess & {
	readonly ageMs: number;
	/** VMs that saw the end themselves. */
	readonly observers: readonly string[];
	readonly suspects: readonly SuspectRequest[];
};

export type VerdictReport = {
	readonly part: string;
	/** VM that decided first, as far as the sender knows. */
	readonly decidedBy: string;
	readonly ageMs: number;
	/** Milliseconds since a request with the part arrived at any VM, as far as the sender knows. */
	readonly seenAgeMs: number;
	/** Requests that were let through since to check the verdict. */
	readonly checks: number;
	readonly ends: number;
};

/** A verdict as the store holds it. */
export type StoredVerdict = Pick<VerdictReport, 'part' | 'checks'>;

/** A part whose requests were answered, with the time since the last such answer. */
export type SoundPart = {readonly part: string; readonly ageMs: number};

/** What a VM reports to others; empty while no target ends. */
export type QuarantineReport = {
	readonly ends: readonly EndReport[];
	readonly sound: readonly SoundPart[];
	readonly verdicts: readonly VerdictReport[];
};

export type QuarantineMessage =
	/** A request was answered completely, or its answer has lasted for `MIN_SOUND_ANSWER_MS`. */
	| {readonly kind: 'answered'; readonly team: string; readonly parts: readonly string[]}
	/** The connection of a request broke at a target that was not leaving, before its answer cleared it. */
	| ({readonly kind: 'broke'; readonly requestId: string; readonly parts: readonly string[]} & TargetProcess)
	/** The answer to a request ended with its connection; that may be its end or that of the process. */
	| ({readonly kind: 'closed'; readonly requestId: string; readonly team: string; readonly parts: readonly string[]} & TargetProcess)
	/** No connection to the target is left, or none can be opened. */
	| ({readonly kind: 'unreachable'} & TargetProcess)
	/** The entry of the process is gone, or names another process. */
	| ({readonly kind: 'entry-gone'} & TargetProcess)
	/** The process responded to a request that was sent to it at `sentMs` (monotonic). */
	| ({readonly kind: 'alive'; readonly sentMs: number} & TargetProcess)
	| {readonly kind: 'reported'; readonly from: string; readonly report: QuarantineReport}
	/** Verdicts that the store holds. */
	| {readonly kind: 'stored'; readonly verdicts: readonly StoredVerdict[]}
	/** An operator has lifted a verdict. */
	| {readonly kind: 'lift'; readonly part: string}
	| {readonly kind: 'tick'};

/** Why a verdict ended: its requests are answered again, no request with the part has arrived for a long time, or an operator lifted it. */
export type LiftReason = 'answered' | 'no-requests' | 'operator';

export type QuarantineEffect =
	/** A process has ended with requests in service. */
	| {readonly kind: 'ended'; readonly process: TargetProcess; readonly suspects: readonly SuspectRequest[]; readonly observers: readonly string[]}
	| {readonly kind: 'condemned'; readonly part: string; readonly decidedBy: string; readonly isOwn: boolean; readonly ends: readonly TargetProcess[]}
	| {readonly kind: 'lifted'; readonly part: string; readonly reason: LiftReason; readonly isOwn: boolean}
	/** This VM knows something new that the others should hear soon. */
	| {readonly kind: 'spread'}
	/** A VM blames a part whose requests were answered here; it should hear of that soon. */
	| {readonly kind: 'reply'; readonly to: string};

/** What a new request with a prompt may do. */
export type Judgement =
	| {readonly kind: 'pass'}
	/** The request is let through, although one of its parts is condemned, to check the verdict. */
	| {readonly kind: 'check'; readonly part: string; readonly checks: number}
	| {readonly kind: 'refuse'; readonly part: string; readonly retryAfterMs: number};
