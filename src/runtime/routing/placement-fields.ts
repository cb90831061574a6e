/** Builds the log fields that record the decision where to place a request, and the inputs of that decision. */
import {type PlacementEffect, type TeamFigures} from '../../core/placement/messages.js';
import {type QueueSnapshot} from '../../core/placement/service-queue.js';

type Reject = Extract<PlacementEffect, {kind: 'reject'}>;
type Granted = Extract<PlacementEffect, {kind: 'grant'}>;

/** Returns the fields of the last reservation request that the VM with the target's reservation ledger refused. */
const declineFields = ({lastDecline}: Reject) => lastDecline && {
	declined_by: lastDecline.target,
	declined_running: lastDecline.running,
	declined_reading_tokens: lastDecline.readingTokens,
	declined_predicted_ms: Math.round(lastDecline.predictedMs),
	new_tokens: lastDecline.newTokens,
};

/** Returns the fields of the queue, as of the time when the request was queued. */
const queueFields = (queue: QueueSnapshot | undefined) => queue && {
	tier: queue.tier,
	position: queue.position,
	cost_ahead: Math.round(queue.costAhead),
	...(queue.costPerMs !== undefined && {drain_per_s: Math.round(queue.costPerMs * 1000)}),
};

/** Returns the team's usage and the usage beyond which its requests yield; without the latter, no team has to. */
const teamFields = ({team, usage, shareUsage}: TeamFigures) => ({
	team, team_use: Math.round(usage), ...(Number.isFinite(shareUsage) && {share_use: Math.round(shareUsage)}),
});

/** Returns the size of the request's prompt, how many reservations were requested for it, and the time that it was in line. */
const promptFields = ({request: {prompt}, effort: {attempts, lineMs}}: Reject | Granted) => prompt && {
	prompt_tokens: Math.round(prompt.tokens), attempts, ...(lineMs > 0 && {line_ms: Math.round(lineMs)}),
};

export const rejectFields = (service: string, effect: Reject, nowMs: number) => ({
	request_id: effect.request.requestId,
	service,
	reason: effect.reason,
	gives_way: effect.precedence.givesWay,
	...teamFields(effect.teamFigures),
	...(effect.unavailable && {
		targets: effect.unavailable.targets,
		passed_over: effect.unavailable.passedOver,
		closed_cold: effect.unavailable.cold,
		closed_doubtful: effect.unavailable.doubtful,
		full: effect.unavailable.full,
		late: effect.unavailable.late,
	}),
	...declineFields(effect),
	...queueFields(effect.queue),
	retry_after_ms: Math.round(effect.retryAfterMs),
	waited_ms: Math.round(nowMs - effect.request.arrivedMs),
	...promptFields(effect),
});

export const grantFields = (service: string, effect: Granted) => {
	const {request, target, details, teamFigures, queue} = effect;
	return {
		request_id: request.requestId,
		service,
		target: target.id,
		predicted_ms: Math.round(details.predictedMs),
		kept_tokens: details.keptTokens,
		copy_from: details.copyFrom?.id,
		running: details.running,
		others: details.othersRunning,
		cold: details.isCold,
		gives_way: details.givesWay,
		...teamFields(teamFigures),
		...queueFields(queue),
		heartbeat_age_ms: Math.round(details.heartbeatAgeMs),
		waited_ms: Math.round(details.waitedMs),
		...promptFields(effect),
	};
};
