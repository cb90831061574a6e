/** Whether a target has room for a request, and can start it in time. */
import {type RoutedService} from '../routing/types.js';
import {type Load} from './fleet-loads.js';
import {type PlacedTarget} from './placed-target.js';
import {type PlacedAsk} from './types.js';

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
/** Part of the target latency that others' prompts may take ahead of one that cannot be in time by itself. */
const LARGE_BACKLOG_SHARE = 0.03;
/** Requests that a plain target may have for each slot, the rest waiting there. */
const PLAIN_PER_SLOT = 2;

/** What has begun does not give way: its caller waits in mid-answer. */
const limitsOf = ({isResumed}: PlacedAsk, givesWay: boolean): StartLimits => givesWay && !isResumed ? YIELDING : ORDINARY;

/** A target with the requests that other VMs have there. */
export type Occupied = {
	readonly target: PlacedTarget;
	readonly others: Load;
};

type RoomContext = {
	readonly service: RoutedService;
	/** Whether the request gives way to others. */
	readonly givesWay: boolean;
};

/** Memory and slots bound what a model engine takes; slots bound what a plain target takes. */
export const hasRoom = (ask: PlacedAsk, {target, others}: Occupied, {service: {engine}, givesWay}: RoomContext): boolean => {
	const {prompt} = ask;
	const running = target.running + others.running;
	if (!prompt || !engine) {
		return running < target.record.slots * PLAIN_PER_SLOT;
	}

	const {slotShare, memoryShare} = limitsOf(ask, givesWay);
	const tokens = target.heldTokens + others.heldTokens + prompt.tokens + prompt.outputTokens;
	return running < Math.max(1, engine.slots * slotShare) && (running === 0 || tokens <= engine.kvCapacityTokens * memoryShare);
};

/** Milliseconds until a request's first token at a target, as predicted. */
export type StartPrediction = {
	readonly waitedMs: number;
	/** From now until the first token. */
	readonly predictedMs: number;
	/** The part of it that the request's own prompt takes. */
	readonly ownMs: number;
};

/**
 * A large prompt that cannot be in time by itself is started when little is ahead of it,
 * rather than never. What has begun cannot be in time any more, so its wait does not count.
 */
export const startsInTime = (ask: PlacedAsk, {waitedMs, predictedMs, ownMs}: StartPrediction, givesWay: boolean): boolean => {
	const {startShare} = limitsOf(ask, givesWay);
	const countedWaitMs = ask.isResumed || givesWay ? 0 : waitedMs;
	return countedWaitMs + predictedMs <= ask.targetLatencyMs * startShare
		|| predictedMs - ownMs <= Math.min(ask.targetLatencyMs * LARGE_BACKLOG_SHARE, ownMs);
};
