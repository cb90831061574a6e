/**
 * The sum of what all VMs report of a roll-out, at its coordinator. A report replaces the
 * sender's last one, so the work for each does not grow with the fleet.
 *
 * Failures that one VM alone sees may be of its own link: what it adds to the failures of
 * the new version in one step is bounded, and failures beside failures of the old version
 * at the same VM are left out.
 */
import {addCounts, noCounts, responsesOf} from './counts.js';
import {type Counts, type EvidenceReport} from './types.js';

/** Failures of the new version that count in one step, shared out over the VMs that see it: about twice what the alarm takes. */
const FAILURES_OF_ALL = 16;
/** The same of one VM at the least: fewer than the alarm takes. */
const MIN_FAILURES_OF_VM = 3;
/** Part of a VM's responses of the old version that fails, above which the VM's own link is in doubt. */
const LINK_FAILURE_SHARE = 0.3;
/** Such failures in one report without which they may be chance. */
const MIN_LINK_FAILURES = 3;

export type SummedRoute = {readonly before: Counts; readonly next: Counts};

type Seen = {
	report: EvidenceReport;
	/** Failures of the new version that were counted in this step. */
	failures: number;
	step: number;
	atMs: number;
};

const totalOf = (report: EvidenceReport | undefined, side: 'before' | 'next'): Counts => {
	let sum = noCounts;
	for (const route of report?.routes ?? []) {
		sum = addCounts(sum, route[side]);
	}

	return sum;
};

export class EvidenceSum {
	readonly #seen = new Map<string, Seen>();
	readonly #routes = new Map<string, {before: Counts; next: Counts}>();
	#order = 0;
	#step = 0;
	#revision = 0;
	#runningBefore = 0;
	#atRevision = 0;

	/** Totals by route, of all VMs. */
	get routes(): ReadonlyMap<string, SummedRoute> {
		return this.#routes;
	}

	/** Requests that run at other versions than the new one. */
	get runningBefore(): number {
		return this.#runningBefore;
	}

	/** VMs that go by the row's current revision. */
	get vmsAtRevision(): number {
		return this.#atRevision;
	}

	/** All responses of each version. */
	get total(): SummedRoute {
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
			this.#seen.clear();
			this.#routes.clear();
			this.#runningBefore = 0;
			this.#atRevision = 0;
		}
	}

	/** A row was written: each VM may add failures anew, and counts as following it once it says so. */
	startStep(revision: number): void {
		if (revision !== this.#revision) {
			this.#revision = revision;
			this.#step++;
			this.#atRevision = 0;
			for (const {report} of this.#seen.values()) {
				this.#atRevision += report.revision >= revision ? 1 : 0;
			}
		}
	}

	/** VMs that have reported since a moment. Looks at all of them; called some times a second at one VM. */
	heardSince(sinceMs: number): number {
		let heard = 0;
		for (const {atMs} of this.#seen.values()) {
			heard += atMs >= sinceMs ? 1 : 0;
		}

		return heard;
	}

	/** @param vms - VMs of the fleet. */
	take(vm: string, report: EvidenceReport, {vms, nowMs}: {readonly vms: number; readonly nowMs: number}): void {
		if (report.order !== this.#order) {
			return;
		}

		const seen = this.#seen.get(vm);
		const isSameRun = seen?.report.incarnation === report.incarnation;
		if (seen && isSameRun && seen.report.sequence >= report.sequence) {
			return;
		}

		this.#runningBefore += report.runningBefore - (seen?.report.runningBefore ?? 0);
		this.#atRevision += Number(report.revision >= this.#revision) - Number((seen?.report.revision ?? -1) >= this.#revision);
		const failures = seen?.step === this.#step ? seen.failures : 0;
		const last = isSameRun ? seen.report : undefined;
		const added = this.#addRoutes(report, last, Math.max(MIN_FAILURES_OF_VM, Math.ceil(FAILURES_OF_ALL / vms)) - failures);
		this.#seen.set(vm, {
			report, failures: failures + added, step: this.#step, atMs: nowMs,
		});
	}

	/** Adds what is new in a report; returns the failures of the new version that were counted, at most `room`. */
	#addRoutes(report: EvidenceReport, last: EvidenceReport | undefined, room: number): number {
		const before = addCounts(totalOf(report, 'before'), totalOf(last, 'before'), -1);
		const isLinkBroken = before.failed >= MIN_LINK_FAILURES && before.failed > responsesOf(before) * LINK_FAILURE_SHARE;
		let left = isLinkBroken ? 0 : room;
		for (const {route, ...counts} of report.routes) {
			const known = last?.routes.find(({route: name}) => name === route);
			const next = addCounts(counts.next, known?.next ?? noCounts, -1);
			const old = addCounts(counts.before, known?.before ?? noCounts, -1);
			const failed = Math.min(next.failed, left);
			const sum = this.#routes.get(route) ?? {before: noCounts, next: noCounts};
			left -= failed;
			this.#routes.set(route, {
				before: addCounts(sum.before, isLinkBroken ? {...old, failed: 0} : old),
				next: addCounts(sum.next, {...next, failed}),
			});
		}

		return isLinkBroken ? 0 : room - left;
	}
}
