/** Writes log lines and metrics of the admission control, a few times a second instead of once per request. */
import {type AdmissionControl} from '../../core/admission/admission-control.js';
import {type RefusalLine, type RefusalSummary} from '../../core/admission/refusal-summary.js';
import {type Log} from './log.js';
import {type Metrics} from './metrics.js';

const MS_PER_S = 1000;

export type IngressReportOptions = {
	readonly log: Log;
	readonly metrics: Metrics;
	readonly admissionControl: AdmissionControl;
	readonly refusals: RefusalSummary;
};

export type IngressReport = {
	/** Writes the log lines that are due and sets the metrics. */
	readonly update: (nowMs: number) => void;
	/** Writes the remaining log lines. */
	readonly flush: (nowMs: number) => void;
};

const roundToHundredths = (value: number): number => Math.round(value * 100) / 100;

export const createIngressReport = ({log, metrics, admissionControl, refusals}: IngressReportOptions): IngressReport => {
	let reported = {admitted: 0, refused: 0};

	const write = (lines: readonly RefusalLine[]): void => {
		const {backlogMs, budgetMs, admittedMs, refusedMs} = admissionControl.figures();
		for (const {reason, team, count, overMs, requestIds} of lines) {
			metrics.overloadRefusals.inc({team}, count);
			log.info('requests refused', {
				reason, team, count, over_ms: Math.round(overMs), request_ids: requestIds.join(' '),
				...(budgetMs > 0 && {
					backlog_ms: Math.round(backlogMs), budget_ms_per_s: Math.round(budgetMs), admitted_cost_ms: roundToHundredths(admittedMs), refused_cost_ms: roundToHundredths(refusedMs),
				}),
			});
		}
	};

	const setMetrics = (): void => {
		const {backlogMs, budgetMs, admitted, refused, admittedMs, refusedMs, openMs, idleMs} = admissionControl.figures();
		if (budgetMs === 0) {
			return;
		}

		metrics.ingress.inc({result: 'admitted'}, admitted - reported.admitted);
		metrics.ingress.inc({result: 'refused'}, refused - reported.refused);
		reported = {admitted, refused};
		metrics.ingressBacklog.set(backlogMs / MS_PER_S);
		for (const [work, ms] of Object.entries({
			admitted: admittedMs, refused: refusedMs, open: openMs, idle: idleMs,
		})) {
			metrics.ingressCost.set({work}, ms / MS_PER_S);
		}
	};

	return {
		update(nowMs) {
			write(refusals.takeDue(nowMs));
			setMetrics();
		},
		flush(nowMs) {
			write(refusals.takeAll(nowMs));
		},
	};
};
