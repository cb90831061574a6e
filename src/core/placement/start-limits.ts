/** Whether a target has room for a request, and can start it in time. */
import {type RoutedService} from '../routing/types.js';
import {type Load} from './fleet-loads.js';
import {type PlacementRequest} from './types.js';

/** What a request may count on at a target. */
type StartLimits = {
	/** Part of the target latency within which the first token is predicted. */
	readonly startShare: number;
	/** Part of an engine's slots that the requests of all VMs take. */
	readonly slotShare: number;
	/** Part of an engine's memory that they take; the rest keeps prompt parts for the next ones. */
	readonly memoryShare: number;
};

/**
 * The rest of the target latency is for the way and for errors of the prediction. Beyond
 * these slots tokens come too slowly for long answers to end in time; with more of the
 * memory taken, prompt parts are dropped before they are used again. Measured, see the
 * rounds in the design note of the platform.
 */
const ORDINARY: StartLimits = {startShare: 0.55, slotShare: 0.85, memoryShare: 0.5};
/** Of requests that give way: about half, so that what comes after them finds room. */
const YIELDING: StartLimits = {startShare: 0.25, slotShare: 0.5, memoryShare: 0.25};
/** Of requests that an exact ledger lets in: the rest of the target latency is for the way and the first step alone. */
const RESERVED: StartLimits = {startShare: 0.65, slotShare: 0.85, memoryShare: 0.5};
const RESERVED_YIELDING: StartLimits = {startShare: 0.4, slotShare: 0.5, memoryShare: 0.25};
/** Part of the target latency that others' prompts may take ahead of one that cannot be in time by itself. */
const MAX_BACKLOG_SHARE_OF_LARGE = 0.03;
/** Requests that a plain target may have for each slot, the rest waiting there. */
const PLAIN_REQUESTS_PER_SLOT = 2;
/** The same for requests that give way: they take only slots that are free, and never wait at a target before others. */
const PLAIN_YIELDING_REQUESTS_PER_SLOT = 1;

/** How a request is weighed. */
export type StartTerms = {
	/** Whether the request gives way to others. */
	readonly givesWay: boolean;
	/** Whether all requests of the target are known, as its ledger knows them. */
	readonly isExact: boolean;
};

/** What has begun does not give way: its caller waits in mid-answer. */
const limitsOf = ({isResumed}: Pick<PlacementRequest, 'isResumed'>, {givesWay, isExact}: StartTerms): StartLimits => {
	if (givesWay && !isResumed) {
		return isExact ? RESERVED_YIELDING : YIELDING;
	}

	return isExact ? RESERVED : ORDINARY;
};

/** A target with what runs there. */
export type TargetOccupancy = {
	/** Slots that the target itself tells of. */
	readonly slots: number;
	/** Requests of all VMs. */
	readonly load: Load;
};

type CapacityContext = StartTerms & {readonly service: RoutedService};

/** Memory and slots bound what a model engine takes; slots bound what a plain target takes. */
export const hasCapacity = (request: Pick<PlacementRequest, 'prompt' | 'isResumed'>, {slots, load: {running, heldTokens}}: TargetOccupancy, {service: {engine}, ...terms}: CapacityContext): boolean => {
	const {prompt} = request;
	if (!prompt || !engine) {
		return running < slots * (terms.givesWay ? PLAIN_YIELDING_REQUESTS_PER_SLOT : PLAIN_REQUESTS_PER_SLOT);
	}

	const {slotShare, memoryShare} = limitsOf(request, terms);
	const tokens = heldTokens + prompt.tokens + prompt.outputTokens;
	return running < Math.max(1, engine.slots * slotShare) && (running === 0 || tokens <= engine.kvCapacityTokens * memoryShare);
};

/** Milliseconds until a request's first token at a target, as predicted. */
export type StartPrediction = {
	readonly waitedMs: number;
	/** From now until the first token. */
	readonly predictedMs: number;
	/** The part of it that the request's own prompt takes. */
	readonly ownPrefillMs: number;
};

/**
 * A large prompt that cannot be in time by itself is started when little is ahead of it,
 * rather than never. What has begun cannot be in time any more, so its wait does not count.
 */
export const startsInTime = (request: Pick<PlacementRequest, 'isResumed' | 'targetLatencyMs'>, {waitedMs, predictedMs, ownPrefillMs}: StartPrediction, terms: StartTerms): boolean => {
	const {startShare} = limitsOf(request, terms);
	const countedWaitMs = request.isResumed || terms.givesWay ? 0 : waitedMs;
	return countedWaitMs + predictedMs <= request.targetLatencyMs * startShare
		|| predictedMs - ownPrefillMs <= Math.min(request.targetLatencyMs * MAX_BACKLOG_SHARE_OF_LARGE, ownPrefillMs);
};
