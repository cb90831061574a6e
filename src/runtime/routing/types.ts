/** Ports of the routing path: what an interface to callers and targets has to translate. */
import {type IncomingHttpHeaders, type IncomingMessage, type ServerResponse} from 'node:http';
import {type ReportedLoad} from '../../core/dispatch/types.js';
import {type RefusalError} from '../../core/errors/refusal-error.js';
import {type FleetBounds} from '../../core/placement/types.js';
import {type ExposureBounds} from '../../core/rollout/types.js';
import {type StoreFreshness} from '../../core/store-watch/types.js';
import {type FleetUpdate, type Route} from '../../core/routing/types.js';
import {type QuickResponse} from '../entry/quick-refusal.js';
import {type RolloutStore} from '../rollout/types.js';
import {type EntryLimits} from '../entry/types.js';
import {type Headers, type Job, type TargetRequest} from '../entry/job.js';

/** A caller's request before its body has been read. */
export type RoutedRequestHead = {
	readonly requestId: string;
	readonly host: string;
	/** Key that names the team, if one was sent. */
	readonly key: string | undefined;
	/** Milliseconds for which the caller waits, if it says so. */
	readonly callerTimeoutMs: number | undefined;
};

/** The prompt facts of a request, as the caller states them. */
export type PromptHead = NonNullable<Job['route']>['prompt'];

/** Translates between callers and the product. */
export type CallerWire = {
	readonly readHead: (req: IncomingMessage) => RoutedRequestHead;
	readonly readPrompt: (headers: IncomingHttpHeaders) => PromptHead;
	/** Headers that go on to the target, with the team's name. */
	readonly targetHeaders: (headers: IncomingHttpHeaders, team: string | undefined) => Headers;
	readonly writeRefusal: (res: ServerResponse, err: RefusalError, requestId: string) => void;
	/** The answer of a VM that has no room. */
	readonly overloadedResponse: (requestId: string, retryAfterMs: number) => QuickResponse;
};

/**
 * What a target's answer is, by status and headers. Nothing ran for `declined` and
 * `misdirected`; `crossed` belongs to another request; `error` is a failure of the
 * target's own.
 */
export type TargetResponseKind = 'answer' | 'error' | 'declined' | 'misdirected' | 'crossed';

/** Translates between the product and targets. */
export type TargetWire = {
	/** Lower-case name of the header that tells whose a response is. */
	readonly idHeader: string;
	/** The request as it is sent to one process of a target. */
	readonly request: (request: TargetRequest, to: {
		readonly instance: string;
		/** Milliseconds that the caller still waits. */
		readonly callerRemainingMs: number;
		/** Last event that the caller has, when a stream goes on. */
		readonly afterEvent: string | undefined;
		/** `host:port` of a target that passes on prompt parts. */
		readonly copyPromptFrom: string | undefined;
	}) => TargetRequest;
	readonly classify: (requestId: string, status: number, headers: IncomingHttpHeaders) => TargetResponseKind;
	readonly load: (headers: IncomingHttpHeaders) => ReportedLoad | undefined;
	/** Whether an answer, of whatever request, says that its target leaves. */
	readonly isLeaving: (headers: IncomingHttpHeaders) => boolean;
	/** Milliseconds for which a target that declined wants nothing, if it says so. */
	readonly backOffMs: (status: number, headers: IncomingHttpHeaders) => number | undefined;
	/** Headers of the answer that go on to the caller. */
	readonly callerHeaders: (headers: IncomingHttpHeaders) => Headers;
};

/** Where news of the fleet comes from. */
export type FleetSource = {
	readonly start: (listener: (update: FleetUpdate) => void) => void;
	readonly stop: () => Promise<void>;
	/** Milliseconds since the source was last heard. */
	readonly responseAgeMs: () => number;
	/** Whether the news is as of now: false from the end of a pause of the process until the source was asked, or could not be. */
	readonly isCurrent: () => boolean;
	/** The process was paused. */
	readonly onResumed: () => void;
	/** What the other VMs are told of how new the news here is. */
	readonly freshness: () => StoreFreshness;
	/** Takes in what another VM said of its news. */
	readonly onFreshness: (freshness: StoreFreshness) => void;
	/** Rows about roll-outs; absent where there are none. */
	readonly rollouts?: RolloutStore;
};

/** A request with the route that it takes. */
export type RoutedRequest = {
	readonly route: Route;
	readonly team: string | undefined;
	/** Urgency of the team, then of the route; the least is the most urgent. */
	readonly priority: number;
};

export type RoutingBounds = FleetBounds & {
	/** Milliseconds from a stop signal within which the process must have ended. */
	readonly graceMs: number;
	/** Absent when no roll-out is carried out. */
	readonly exposure?: ExposureBounds;
};

export type RoutingLimits = EntryLimits & {
	/** Milliseconds by which timers come late above which the VM is behind its work. */
	readonly behindMs: number;
	/** Part of a processor that this VM may use; absent if unknown. */
	readonly processorShare?: number | undefined;
	/** How many times as fast as an ordinary one that processor is; 1 if absent. */
	readonly processors?: number;
	/** Memory of this VM in MB; unknown if absent. */
	readonly memoryMb?: number | undefined;
};
