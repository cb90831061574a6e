/**
 * Sums the evidence reports of all VMs at the coordinator of a roll-out. A report replaces the
 * sender's previous one, so the work for each report does not grow with the fleet.
 *
 * Failures that only one VM sees may come from its own network link. The number of failures
 * of the new version that one VM can add in a step is therefore limited, and they are ignored
 * while many requests to the old versions fail at the same VM.
 */
import {addCounts, zeroCounts, responsesOf} from './counts.js';
import {type ResponseCounts, type EvidenceReport} from './types.js';

/** Failures of the new version that may count in one step, divided evenly among the VMs. About half as many raise the alarm. */
const MAX_FAILURES_PER_STEP = 16;
/** Lower bound of one VM's share of these failures; so few do not raise the alarm. */
const MIN_FAILURES_PER_VM = 3;
/** Failure rate of the old versions at one VM above which the VM's own link is suspect. */
const LINK_FAILURE_RATE = 0.3;
/** Number of failures of the old versions in one report below which the link is not suspect, since they may be chance. */
const MIN_LINK_FAILURES = 3;

export type VersionTotals = {readonly before: ResponseCounts; readonly next: ResponseCounts};

type ReceivedReport = {
	report: EvidenceReport;
	/** Failures of the new version that were counted in the step `step`. */
	failures: number;
	step: number;
	receivedMs: number;
};

const totalOf = (report: EvidenceReport | undefined, side: 'before' | 'next'): ResponseCounts => {
	let sum = zeroCounts;
	for (const route of report?.routes ?? []) {
		sum = addCounts(sum, route[side]);
	}

	return sum;
};

export class EvidenceAggregate {
	readonly #receivedByVm = new Map<string, ReceivedReport>();
	readonly #routes = new Map<string, {before: ResponseCounts; next: ResponseCounts}>();
	#order = 0;
	#step = 0;
	#revision = 0;
	#runningBefore = 0;
	#vmsAtRevision = 0;

	/** Response counts of the old versions and of the new one, by route, summed over all VMs. */
	get routes(): ReadonlyMap<string, VersionTotals> {
		return this.#routes;
	}

	/** Number of requests that run at versions other than the new one. */
	get runningBefore(): number {
		return this.#runningBefore;
	}

	/** Number of VMs that follow the current revision of the state row. */
	get vmsAtRevision(): number {
		return this.#vmsAtRevision;
	}

	/** Totals over all routes. */
	get total(): VersionTotals {
		let before = zeroCounts;
		let next = zeroCounts;
		for (const route of this.#routes.values()) {
			before = addCounts(before, route.before);
			next = addCounts(next, route.next);
		}

		return {before, next};
	}

	/** Discards the evidence of other orders. */
	startOrder(order: number): void {
		if (order !== this.#order) {
			this.#order = order;
			this.#receivedByVm.clear();
			this.#routes.clear();
			this.#runningBefore = 0;
			this.#vmsAtRevision = 0;
		}
	}

	/** Starts a step after a write of the state row. Each VM's count of failures starts again at zero, and `vmsAtRevision` counts the VMs that report this revision or a later one. */
	startStep(revision: number): void {
		if (revision !== this.#revision) {
			this.#revision = revision;
			this.#step++;
			this.#vmsAtRevision = 0;
			for (const {report} of this.#receivedByVm.values()) {
				this.#vmsAtRevision += report.revision >= revision ? 1 : 0;
			}
		}
	}

	/** Returns the number of VMs that have reported since `sinceMs`. It visits every VM, but only the coordinator calls it, a few times a second. */
	vmsReportingSince(sinceMs: number): number {
		let vmCount = 0;
		for (const {receivedMs} of this.#receivedByVm.values()) {
			vmCount += receivedMs >= sinceMs ? 1 : 0;
		}

		return vmCount;
	}

	/** @param vms - Number of VMs in the fleet. */
	addReport(vm: string, report: EvidenceReport, {vms, nowMs}: {readonly vms: number; readonly nowMs: number}): void {
		if (report.order !== this.#order) {
			return;
		}

		const previous = this.#receivedByVm.get(vm);
		const isSameProcess = previous?.report.incarnation === report.incarnation;
		if (previous && isSameProcess && previous.report.sequence >= report.sequence) {
			return;
		}

		this.#runningBefore += report.runningBefore - (previous?.report.runningBefore ?? 0);
		this.#vmsAtRevision += Number(report.revision >= this.#revision) - Number((previous?.report.revision ?? -1) >= this.#revision);
		const failures = previous?.step === this.#step ? previous.failures : 0;
		const previousReport = isSameProcess ? previous.report : undefined;
		const added = this.#addRoutes(report, previousReport, Math.max(MIN_FAILURES_PER_VM, Math.ceil(MAX_FAILURES_PER_STEP / vms)) - failures);
		this.#receivedByVm.set(vm, {
			report, failures: failures + added, step: this.#step, receivedMs: nowMs,
		});
	}

	/** Adds what is new in a report. Returns the number of failures of the new version that were counted, at most `maxFailures`. */
	#addRoutes(report: EvidenceReport, previousReport: EvidenceReport | undefined, maxFailures: number): number {
		const before = addCounts(totalOf(report, 'before'), totalOf(previousReport, 'before'), -1);
		const isLinkBroken = before.failed >= MIN_LINK_FAILURES && before.failed > responsesOf(before) * LINK_FAILURE_RATE;
		let remaining = isLinkBroken ? 0 : maxFailures;
		for (const {route, ...counts} of report.routes) {
			const previousCounts = previousReport?.routes.find(({route: name}) => name === route);
			const next = addCounts(counts.next, previousCounts?.next ?? zeroCounts, -1);
			const old = addCounts(counts.before, previousCounts?.before ?? zeroCounts, -1);
			const failed = Math.min(next.failed, remaining);
			const sum = this.#routes.get(route) ?? {before: zeroCounts, next: zeroCounts};
			remaining -= failed;
			this.#routes.set(route, {
				before: addCounts(sum.before, isLinkBroken ? {...old, failed: 0} : old),
				next: addCounts(sum.next, {...next, failed}),
			});
		}

		return isLinkBroken ? 0 : maxFailures - remaining;
	}
}
