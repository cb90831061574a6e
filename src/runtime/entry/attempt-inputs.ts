/** What a job means for its state machine and for the scheduler. */
import {type AttemptSpec} from '../../core/attempt/types.js';
import {type Ask, type AskPlacement} from '../../core/dispatch/types.js';
import {type AttemptContext} from './attempt-context.js';
import {type Job, type JobRoute} from './job.js';

/** The fixed facts of an attempt. */
export const specOf = (job: Job, ctx: AttemptContext): AttemptSpec => ({
	requestId: job.requestId,
	service: job.service,
	repeat: job.serviceConfig.repeat,
	startByMs: job.startByMs,
	needsClaim: job.serviceConfig.repeat === 'never' && job.idempotencyKey !== undefined,
	takeRetry: nowMs => ctx.retryBudget.take(nowMs, job.service),
	random: ctx.random,
	...(job.route && {maxTargets: job.route.maxTargets, isResumable: job.route.isResumable, budgetsDeclined: true}),
});

/** What became of a job before it is asked for again. */
export type AskHistory = {
	/** Targets that it was sent to. */
	readonly tried: readonly string[];
	/** Whether its caller has part of the answer. */
	readonly isResumed: boolean;
};

const noHistory: AskHistory = {tried: [], isResumed: false};

/** A repeat has a latency target of its own, since the first one has usually passed. */
const placementOf = (job: Job, {name, targetLatencyMs, prompt}: JobRoute, {tried, isResumed}: AskHistory, nowMs: number): AskPlacement => ({
	targetLatencyMs, arrivedMs: tried.length === 0 ? job.arrivedMs : nowMs, tried, isResumed, route: name, ...(prompt && {prompt}),
});

/** The ask for a job, with its cost as expected now. */
export const askOf = (job: Job, ctx: AttemptContext, history = noHistory): Ask => {
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
