/** Decides whether a target has capacity for a request and can start it in time. */
import {type RoutedService} from '../routing/types.js';
import {type Load} from './fleet-loads.js';
import {DEFAULT_PRIORITY} from './team-queues.js';
import {type PlacementRequest} from './types.js';

/** Shares of a target's capacity and of the latency target that a request may use. */
type StartLimits = {
	/** Share of the latency target within which the first token must be predicted. */
	readonly startShare: number;
	/** Share of an engine's slots that the requests of all VMs may take. */
	readonly slotShare: number;
	/** Share of an engine's KV cache memory that the requests of all VMs may take. The remaining memory keeps prefixes cached for later requests. */
	readonly memoryShare: number;
};

/**
 * Limits of requests that do not yield and that no ledger admits. The time between `startShare`
 * and the whole latency target covers network latency and errors of the prediction. With more
 * slots in use, an engine generates tokens too slowly for long responses to end in time. With
 * more memory in use, cached prefixes are evicted before they are used again.
 */
const ORDINARY: StartLimits = {startShare: 0.55, slotShare: 0.85, memoryShare: 0.5};
/** Limits of requests that yield. What they occupy they keep for seconds, in which they slow the streams of later requests and evict their prefixes. */
const YIELDING: StartLimits = {startShare: 0.25, slotShare: 0.35, memoryShare: 0.15};
/** Limits of requests that an exact ledger admits. The time beyond `startShare` covers only network latency and the engine's first step. */
const RESERVED: StartLimits = {startShare: 0.65, slotShare: 0.85, memoryShare: 0.5};
/** Limits of requests that yield and that an exact ledger admits. */
const RESERVED_YIELDING: StartLimits = {startShare: 0.4, slotShare: 0.5, memoryShare: 0.25};
/** Share of the latency target that the prefill ahead of a large prompt may take if that prompt would be late even without it. */
const LARGE_PROMPT_BACKLOG_SHARE = 0.03;
/** Requests that a plain target may have for each of its slots. Requests beyond its slots wait at the target. */
const PLAIN_REQUESTS_PER_SLOT = 2;
/** Requests that a plain target may have for each of its slots where the new request yields. Such a request takes only a free slot and never waits at a target ahead of others. */
const PLAIN_YIELDING_REQUESTS_PER_SLOT = 1;

/** The precedence of a request. */
export type Precedence = {
	/** Whether the request yields to others: its team has received its share, or it is late or less urgent. */
	readonly givesWay: boolean;
	/** Whether its response can no longer be in time. */
	readonly isLate: boolean;
	/** Lower is more urgent; negative for kinds of requests that are starved. */
	readonly priority: number;
};

/** The precedence of a request that yields to none. */
export const ORDINARY_PRECEDENCE: Precedence = {givesWay: false, isLate: false, priority: DEFAULT_PRIORITY};

/** Conditions that decide which limits apply to a request. */
export type StartTerms = Pick<Precedence, 'givesWay'> & {
	/** Whether all requests at the target are known, as they are to the owner of its ledger. */
	readonly isExact: boolean;
};

/** Returns the limits of a request. A resumed request does not yield, since its caller has already received some of the response. */
const limitsOf = ({isResumed}: Pick<PlacementRequest, 'isResumed'>, {givesWay, isExact}: StartTerms): StartLimits => {
	if (isResumed || !givesWay) {
		return isExact ? RESERVED : ORDINARY;
	}

	return isExact ? RESERVED_YIELDING : YIELDING;
};

/** Slots and current load of a target. */
export type TargetOccupancy = {
	/** Slots that the target itself reports. */
	readonly slots: number;
	/** Load by the requests of all VMs. */
	readonly load: Load;
};

type CapacityContext = StartTerms & {readonly service: RoutedService};

/** Whether a target has capacity for a request: free slots and memory at a model engine, or fewer requests than a plain target may have. */
export const hasCapacity = (request: Pick<PlacementRequest, 'prompt' | 'isResumed'>, {slots, load: {running, heldTokens}}: TargetOccupancy, {service: {engine}, ...terms}: CapacityContext): boolean => {
	const {prompt} = request;
	if (!prompt || !engine) {
		return running < slots * (terms.givesWay ? PLAIN_YIELDING_REQUESTS_PER_SLOT : PLAIN_REQUESTS_PER_SLOT);
	}

	const {slotShare, memoryShare} = limitsOf(request, terms);
	const tokens = heldTokens + prompt.tokens + prompt.outputTokens;
	return running < Math.max(1, engine.slots * slotShare) && (running === 0 || tokens <= engine.kvCapacityTokens * memoryShare);
};

/** Prediction of a request's first token at a target. */
export type StartPrediction = {
	/** Milliseconds since the request arrived. */
	readonly waitedMs: number;
	/** Milliseconds from now until the first token. */
	readonly predictedMs: number;
	/** Milliseconds of `predictedMs` that the prefill of the request's own prompt takes. */
	readonly ownPrefillMs: number;
};

/**
 * Whether a target can start a request in time. A large prompt that would be late even at an idle
 * target may start when little prefill is ahead of it, since it would never start otherwise. The
 * time since arrival does not count for a resumed request, which is late already, or for a
 * request that yields.
 */
export const startsInTime = (request: Pick<PlacementRequest, 'isResumed' | 'targetLatencyMs'>, {waitedMs, predictedMs, ownPrefillMs}: StartPrediction, terms: StartTerms): boolean => {
	const {startShare} = limitsOf(request, terms);
	const countedWaitMs = request.isResumed || terms.givesWay ? 0 : waitedMs;
	return countedWaitMs + predictedMs <= request.targetLatencyMs * startShare
		|| predictedMs - ownPrefillMs <= Math.min(request.targetLatencyMs * LARGE_PROMPT_BACKLOG_SHARE, ownPrefillMs);
};
