/** Interfaces of the routing path to the protocols of callers and targets and to the source of fleet updates. */
import {type IncomingHttpHeaders, type IncomingMessage, type ServerResponse} from 'node:http';
import {type ReportedLoad} from '../../core/dispatch/types.js';
import {type RefusalError} from '../../core/errors/refusal-error.js';
import {type TargetProcess} from '../../core/quarantine/types.js';
import {type FleetBounds} from '../../core/placement/types.js';
import {type ExposureBounds} from '../../core/rollout/types.js';
import {type StoreFreshness} from '../../core/store-watch/types.js';
import {type FleetUpdate, type Route} from '../../core/routing/types.js';
import {type QuickResponse} from '../entry/quick-refusal.js';
import {type RolloutStore} from '../rollout/types.js';
import {type VerdictStore} from '../store/types.js';
import {type EntryLimits} from '../entry/types.js';
import {type Headers, type Job, type TargetRequest} from '../entry/job.js';

/** A caller's request before its body has been read. */
export type RoutedRequestHead = {
	readonly requestId: string;
	readonly host: string;
	/** API key that identifies the team, if one was sent. */
	readonly key: string | undefined;
	/** Milliseconds for which the caller waits for the response, if the request states it. */
	readonly callerTimeoutMs: number | undefined;
};

/** The prompt description in the headers of a request. */
export type PromptHead = NonNullable<Job['route']>['prompt'];

/** Translates between the HTTP protocol of callers and the router's types. */
export type CallerWire = {
	readonly readHead: (req: IncomingMessage) => RoutedRequestHead;
	readonly readPrompt: (headers: IncomingHttpHeaders) => PromptHead;
	/** Returns the request headers that are forwarded to the target, with the team's name. */
	readonly targetHeaders: (headers: IncomingHttpHeaders, team: string | undefined) => Headers;
	readonly writeRefusal: (res: ServerResponse, err: RefusalError, requestId: string) => void;
	/** Returns the response of an overloaded VM. */
	readonly overloadedResponse: (requestId: string, retryAfterMs: number) => QuickResponse;
};

/**
 * Kind of a target's response, by status and headers. With `declined` or `misdirected` the target
 * did not execute the request; with `misdirected`, because the request was meant for another
 * process instance. `crossed` is the response to another request. `error` is a failure of the
 * target itself.
 */
export type TargetResponseKind = 'answer' | 'error' | 'declined' | 'misdirected' | 'crossed';

/** Translates between the router's types and the HTTP protocol of targets. */
export type TargetWire = {
	/** Lower-case name of the header that identifies the request to which a response belongs. */
	readonly idHeader: string;
	/** Returns the request as it is sent to one process instance of a target. */
	readonly request: (request: TargetRequest, to: {
		readonly instance: string;
		/** Milliseconds for which the caller still waits for the response. */
		readonly callerRemainingMs: number;
		/** Id of the last event that the caller has, if a stream is resumed. */
		readonly afterEvent: string | undefined;
		/** `host:port` of a target from which the cached prompt parts can be copied. */
		readonly copyPromptFrom: string | undefined;
	}) => TargetRequest;
	readonly classify: (requestId: string, status: number, headers: IncomingHttpHeaders) => TargetResponseKind;
	readonly load: (headers: IncomingHttpHeaders) => ReportedLoad | undefined;
	/** Whether a response, to whichever request, announces that its target is leaving. */
	readonly isLeaving: (headers: IncomingHttpHeaders) => boolean;
	/** Returns the milliseconds for which a target that declined a request asks this VM to back off, if it states them. */
	readonly backOffMs: (status: number, headers: IncomingHttpHeaders) => number | undefined;
	/** Returns the response headers that are forwarded to the caller. */
	readonly callerHeaders: (headers: IncomingHttpHeaders) => Headers;
};

/** What calls to targets report of prompts. */
export type PromptWatch = {
	/** Returns the start of the target's present process; 0 if the target is unknown. */
	readonly bornMs: (target: string) => number;
	/** Records that a request was answered, or that its answer has lasted. */
	readonly noteAnswered: (job: Job) => void;
	/** Records that the connection of a request broke before that. */
	readonly noteBroke: (job: Job, process: TargetProcess) => void;
	/** Records that the answer to a request ended with its connection. */
	readonly noteClosed: (job: Job, process: TargetProcess) => void;
	/** Records a response of the process to a request that was written at `sentMs`. */
	readonly noteAlive: (process: TargetProcess, sentMs: number) => void;
};

/** Source of fleet updates. */
export type FleetSource = {
	readonly start: (listener: (update: FleetUpdate) => void) => void;
	readonly stop: () => Promise<void>;
	/** Returns the milliseconds since the store last responded to this VM. */
	readonly responseAgeMs: () => number;
	/** Whether the updates received so far are current. False after a pause of the process, until the store has been read again or the time limit for that read has passed. */
	readonly isCurrent: () => boolean;
	/** Called after a pause of the process. */
	readonly onResumed: () => void;
	/** Returns the freshness of this VM's tables, for the report to the other VMs. */
	readonly freshness: () => StoreFreshness;
	/** Handles the freshness that another VM reported. */
	readonly onFreshness: (freshness: StoreFreshness) => void;
	/** Roll-out rows of the store; absent if there are none. */
	readonly rollouts?: RolloutStore;
	/** Rows of the store with condemned prompt parts; absent if there are none. */
	readonly verdicts?: VerdictStore;
};

/** Route, team and priority of a request. */
export type RoutedRequest = {
	readonly route: Route;
	readonly team: string | undefined;
	/** Combined priority of team and route; the lowest number is the most urgent. */
	readonly priority: number;
};

export type RoutingBounds = FleetBounds & {
	/** Milliseconds after a stop signal within which the process must exit. */
	readonly graceMs: number;
	/** Absent if roll-outs are not used. */
	readonly exposure?: ExposureBounds;
};

export type RoutingLimits = EntryLimits & {
	/** Delay of timers, in milliseconds, above which the VM counts as overloaded. */
	readonly behindMs: number;
	/** Share of a processor that this VM may use; absent if unknown. */
	readonly processorShare?: number | undefined;
	/** Speed of the VM's processor as a multiple of an ordinary processor's speed; 1 if absent. */
	readonly processors?: number;
	/** Memory of this VM in MB; unknown if absent. */
	readonly memoryMb?: number | undefined;
};
