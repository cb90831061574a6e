/** The JSON report of a load run. */
import {type LoadResult} from './run-load.js';
import {type LoadSettings} from './settings.js';
import {type RequestResult} from './types.js';

const requestRow = ({plan, last, attempts, startMs, endMs}: RequestResult): Readonly<Record<string, unknown>> => ({
	team: plan.team, service: plan.service, kind: plan.kind, nonce: plan.nonce,
	start_ms: startMs, end_ms: endMs, attempts: attempts.length,
	outcome: last.kind === 'refused' ? last.reason : last.kind,
	...(last.kind === 'answered' && {cost: last.cost}),
});

/** Whether no response was lost, duplicated or delivered to another request, no debit ran twice or without a record at a target, and every "not run" was true. */
export const isClean = ({total, comparison}: LoadResult): boolean =>
	total.lost + total.crossed + total.doubled + comparison.doubled.length
	+ comparison.falseNotRun.length + comparison.phantom.length === 0;

/** Builds the report from the settings and the result of a run. */
export const reportOf = (cfg: LoadSettings, result: LoadResult): Readonly<Record<string, unknown>> => {
	const {comparison} = result;
	return {
		seed: cfg.seed,
		duration_ms: cfg.durationMs,
		elapsed_ms: Math.round(result.elapsedMs),
		...result.total.report(),
		doubled: result.total.doubled + comparison.doubled.length,
		doubled_debits: comparison.doubled,
		false_not_run: comparison.falseNotRun,
		phantom_debits: comparison.phantom,
		cold_violations: comparison.coldViolations,
		cold_violations_unwarned: comparison.coldViolationsUnwarned,
		overloads: comparison.overloads,
		teams: cfg.teams.map(({name, weight}) => ({
			name, weight, served_cost: comparison.servedByTeam[name] ?? 0, ...result.tallies.get(name)?.report(),
		})),
		...(cfg.keepRequests && {requests: result.results.map(request => requestRow(request))}),
	};
};
