/**
 * The sum of what all VMs report of a roll-out, at its coordinator. A report replaces the
 * sender's last one, so the work for each does not grow with the fleet.
 *
 * Failures that one VM alone sees may be of its own link: what it adds to the failures of
 * the new version in one step is bounded, and failures beside failures of the old version
 * at the same VM are left out.
 */
import {addCounts, noCounts, responsesOf} from './counts.js';
import {type ResponseCounts, type EvidenceReport} from './types.js';

/** Failures of the new version that count in one step, shared out over the VMs that see it: about twice what the alarm takes. */
const MAX_FAILURES_PER_STEP = 16;
/** The same of one VM at the least: fewer than the alarm takes. */
const MIN_FAILURES_PER_VM = 3;
/** Part of a VM's responses of the old version that fails, above which the VM's own link is in doubt. */
const LINK_FAILURE_RATE = 0.3;
/** Such failures in one report without which they may be chance. */
const MIN_LINK_FAILURES = 3;

export type VersionTotals = {readonly before: ResponseCounts; readonly next: ResponseCounts};

type ReceivedReport = {
	report: EvidenceReport;
	/** Failures of the new version that were counted in this step. */
	failures: number;
	step: number;
	receivedMs: number;
};

const totalOf = (report: EvidenceReport | undefined, side: 'before' | 'next'): ResponseCounts => {
	let sum = noCounts;
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

	/** Totals by route, of all VMs. */
	get routes(): ReadonlyMap<string, VersionTotals> {
		return this.#routes;
	}

	/** Requests that run at other versions than the new one. */
	get runningBefore(): number {
		return this.#runningBefore;
	}

	/** VMs that go by the row's current revision. */
	get vmsAtRevision(): number {
		return this.#vmsAtRevision;
	}

	/** All responses of each version. */
	get total(): VersionTotals {
		let before = noCounts;
		let next = noCounts;
		for (const route of this.#routes.values()) {
			before = addCounts(before, route.before);
			next = addCounts(next, route.next);
		}

		return {before, next};
	}

	/** Forgets the evidence of other orders. */
	startOrder(order: number): void {
		if (order !== this.#order) {
			this.#order = order;
			this.#receivedByVm.clear();
			this.#routes.clear();
			this.#runningBefore = 0;
			this.#vmsAtRevision = 0;
		}
	}

	/** A row was written: each VM may add failures anew, and counts as following it once it says so. */
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

	/** VMs that have reported since a moment. Looks at all of them; called some times a second at one VM. */
	vmsReportingSince(sinceMs: number): number {
		let vmCount = 0;
		for (const {receivedMs} of this.#receivedByVm.values()) {
			vmCount += receivedMs >= sinceMs ? 1 : 0;
		}

		return vmCount;
	}

	/** @param vms - VMs of the fleet. */
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

	/** Adds what is new in a report; returns the failures of the new version that were counted, at most `room`. */
	#addRoutes(report: EvidenceReport, previousReport: EvidenceReport | undefined, maxFailures: number): number {
		const before = addCounts(totalOf(report, 'before'), totalOf(previousReport, 'before'), -1);
		const isLinkBroken = before.failed >= MIN_LINK_FAILURES && before.failed > responsesOf(before) * LINK_FAILURE_RATE;
		let remaining = isLinkBroken ? 0 : maxFailures;
		for (const {route, ...counts} of report.routes) {
			const previousCounts = previousReport?.routes.find(({route: name}) => name === route);
			const next = addCounts(counts.next, previousCounts?.next ?? noCounts, -1);
			const old = addCounts(counts.before, previousCounts?.before ?? noCounts, -1);
			const failed = Math.min(next.failed, remaining);
			const sum = this.#routes.get(route) ?? {before: noCounts, next: noCounts};
			remaining -= failed;
			this.#routes.set(route, {
				before: addCounts(sum.before, isLinkBroken ? {...old, failed: 0} : old),
				next: addCounts(sum.next, {...next, failed}),
			});
		}

		return isLinkBroken ? 0 : maxFailures - remaining;
	}
}
