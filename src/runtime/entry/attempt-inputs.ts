/** Derives from a job the input of its state machine and its request to the scheduler. */
import {type AttemptSpec} from '../../core/attempt/types.js';
import {type DispatchRequest, type PlacementInput} from '../../core/dispatch/types.js';
import {type AttemptContext} from './attempt-context.js';
import {type Job, type JobRoute} from './job.js';

/** Returns the properties of a job that its state machine needs and that do not change during its attempts. */
export const specOf = (job: Job, ctx: AttemptContext): AttemptSpec => ({
	requestId: job.requestId,
	service: job.service,
	repeat: job.serviceConfig.repeat,
	startByMs: job.startByMs,
	needsClaim: job.serviceConfig.repeat === 'never' && job.idempotencyKey !== undefined,
	takeRetry: nowMs => ctx.retryBudget.tryWithdraw(nowMs, job.service),
	random: ctx.random,
	...(job.route && {maxTargets: job.route.maxTargets, isResumable: job.route.isResumable, limitsDeclinedRetries: true}),
});

/** The earlier attempts of a job that is submitted again. */
export type RequestHistory = {
	/** Targets that the job was granted before. */
	readonly tried: readonly string[];
	/** Whether the caller has received part of the response. */
	readonly isResumed: boolean;
};

const noHistory: RequestHistory = {tried: [], isResumed: false};

/**
 * Returns the input for the choice of a target. The latency target of a retry counts from now,
 * since that of the first attempt has usually passed. A caller that has part of the response
 * disconnects `patienceMs` after its last event; that event is treated as received now.
 */
const placementOf = (job: Job, route: JobRoute, {tried, isResumed}: RequestHistory, nowMs: number): PlacementInput => {
	const {name, targetLatencyMs, patienceMs, firstAttemptMs, priority, prompt} = route;
	return {
		targetLatencyMs,
		arrivedMs: tried.length === 0 ? job.arrivedMs : nowMs,
		tried,
		isResumed,
		kind: name,
		...(patienceMs !== undefined && {callerLeavesMs: (isResumed ? nowMs : job.arrivedMs) + patienceMs}),
		...(firstAttemptMs !== undefined && {firstAttemptMs}),
		...(priority !== undefined && {priority}),
		...(prompt && {prompt}),
	};
};

/** Returns the request to the scheduler for a job, with the present estimate of its cost. */
export const dispatchRequestOf = (job: Job, ctx: AttemptContext, history = noHistory): DispatchRequest => {
	const {initialCost, maxCost} = job.serviceConfig;
	const hint = job.costHint === undefined ? {} : {hint: job.costHint};
	return {
		requestId: job.requestId,
		team: job.team,
		service: job.service,
		estimatedCost: ctx.estimator.estimate(job.team, job.service, {initial: initialCost, max: maxCost, ...hint}),
		deadlineMs: job.startByMs,
		...(job.costHint !== undefined && {costHint: job.costHint}),
		...(job.prefixHash !== undefined && {prefixHash: job.prefixHash}),
		...(job.route && {placement: placementOf(job, job.route, history, ctx.clock.nowMs())}),
	};
};
