/** What a job means for its state machine and for the scheduler. */
import {type AttemptSpec} from '../../core/attempt/types.js';
import {type DispatchRequest, type PlacementInput} from '../../core/dispatch/types.js';
import {type AttemptContext} from './attempt-context.js';
import {type Job, type JobRoute} from './job.js';

/** The fixed facts of an attempt. */
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

/** What became of a job before it is asked for again. */
export type RequestHistory = {
	/** Targets that it was sent to. */
	readonly tried: readonly string[];
	/** Whether its caller has part of the answer. */
	readonly isResumed: boolean;
};

const noHistory: RequestHistory = {tried: [], isResumed: false};

/**
 * A repeat has a latency target of its own, since the first one has usually passed. A caller
 * that has part of the answer counts its patience from the last event, which came just now.
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

/** The ask for a job, with its cost as expected now. */
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
