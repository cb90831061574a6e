/** A dispatcher's record of one member of its pool: the member's reports, and the slots and approvals granted to it. */
import {type FairShares} from '../fair/fair-shares.js';
import {type AnswerCounts} from '../target/target-limit.js';
import {
	type Allotment, type Report, type SlotGrant, type TargetUse, type TeamDemand,
} from './messages.js';
import {FULL_MESSAGE_INTERVAL_MS} from './pool-member.js';
import {RateMeter} from './rate-meter.js';

/** Prefix of the member ids of other data centres' dispatchers, which borrow slots. */
const DATA_CENTRE_PREFIX = 'dc:';

/** Returns the member id under which the dispatcher of a data centre borrows slots. */
export const dataCentreMemberId = (dataCentre: string) => `${DATA_CENTRE_PREFIX}${dataCentre}`;

type TeamRecord = {
	demand: TeamDemand;
	/** When the oldest waiting request arrived. */
	oldestArrivedMs: number;
	approved: number;
	/** Estimated costs of the outstanding approvals, oldest first. */
	estimates: readonly number[];
};

type SlotRecord = {
	granted: number;
	keep: number;
	use: TargetUse;
	/** The granted count and the keep limit that were last sent to the member, as text. */
	lastSent: string;
};

const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0);

const NO_USE: Omit<TargetUse, 'target'> = {
	running: 0, released: 0, answered: 0, overloaded: 0, failed: 0, answerMsSum: 0, instance: '',
};

/** Fields of an allotment that are the same for all members of a pool. */
export type CommonAllotment = Pick<Allotment, 'service' | 'dataCentre' | 'epoch' | 'dispatcher' | 'ordered' | 'drainPerS' | 'queued' | 'leaseMs'>;

/** Results of a member's requests at one target since its previous report. */
export type TargetResults = AnswerCounts & {readonly target: string; readonly answerMs: number};

export class MemberRecord {
	readonly member: string;
	readonly incarnation: string;
	readonly isDataCentre: boolean;
	lastReportMs: number;
	isLeaving = false;
	/** Whether the member is sent an allotment before its next report, because its slots, its approvals, an urgent keep limit or ordered mode has changed. */
	isDirty = true;
	/** Whether the member's latest report has had no reply yet. */
	isAwaitingAllotment = true;
	readonly endRate: RateMeter;
	#reportSeq = 0;
	#lastFullMs = -Infinity;
	#order: string[] = [];
	readonly #teams = new Map<string, TeamRecord>();
	readonly #slots = new Map<string, SlotRecord>();

	constructor(report: Report, shares: FairShares, nowMs: number) {
		this.member = report.member;
		this.incarnation = report.incarnation;
		this.isDataCentre = report.member.startsWith(DATA_CENTRE_PREFIX);
		this.lastReportMs = nowMs;
		this.endRate = new RateMeter(nowMs);
		this.#reportSeq = report.seq;
		for (const use of report.targets) {
			this.#slots.set(use.target, {
				granted: use.running + use.released, keep: use.running, use, lastSent: '',
			});
		}

		for (const demand of report.teams) {
			this.#teams.set(demand.team, {
				demand, oldestArrivedMs: nowMs - demand.oldestMs, approved: demand.approvalsUsed, estimates: [],
			});
			shares.addPending(demand.team, demand.runningCost);
		}
	}

	get teams(): Iterable<string> {
		return this.#teams.keys();
	}

	get targets(): Iterable<string> {
		return this.#slots.keys();
	}

	/** Number of approvals not yet used, of all teams. */
	get outstandingApprovals(): number {
		return this.#order.length;
	}

	get held(): number {
		return this.#sum(slots => slots.granted - slots.use.released);
	}

	get running(): number {
		return this.#sum(slots => slots.use.running);
	}

	/** Number of held slots on which nothing runs, as of the last report. */
	get idle(): number {
		return Math.max(0, this.held - this.running);
	}

	get queued(): number {
		let queued = 0;
		for (const {demand} of this.#teams.values()) {
			queued += demand.queued;
		}

		return queued;
	}

	heldAt(target: string): number {
		const slots = this.#slots.get(target);
		return slots ? slots.granted - slots.use.released : 0;
	}

	runningAt(target: string): number {
		return this.#slots.get(target)?.use.running ?? 0;
	}

	keepAt(target: string): number {
		return this.#slots.get(target)?.keep ?? 0;
	}

	/** Returns the number of the team's waiting requests that have no approval yet. */
	demandOf(team: string): number {
		const record = this.#teams.get(team);
		return record ? Math.max(0, record.demand.queued - record.estimates.length) : 0;
	}

	queuedOf(team: string): number {
		return this.#teams.get(team)?.demand.queued ?? 0;
	}

	/** Returns when the team's oldest waiting request arrived. */
	oldestArrivedMsOf(team: string): number {
		return this.#teams.get(team)?.oldestArrivedMs ?? Infinity;
	}

	meanCostOf(team: string): number {
		return this.#teams.get(team)?.demand.meanCost ?? 0;
	}

	chargedOf(team: string): number {
		return this.#teams.get(team)?.demand.charged ?? 0;
	}

	/** Returns the pending cost of the team: the estimated cost of its running and approved requests. */
	pendingCostOf(team: string): number {
		const record = this.#teams.get(team);
		return record ? record.demand.runningCost + sum(record.estimates) : 0;
	}

	/** Records a report and charges the teams. Returns the member's new results by target. */
	applyReport(report: Report, shares: FairShares, nowMs: number): readonly TargetResults[] {
		this.lastReportMs = nowMs;
		this.isAwaitingAllotment = true;
		this.isLeaving = report.leaving;
		this.#reportSeq = report.seq;
		for (const demand of report.teams) {
			this.#applyTeam(demand, shares, nowMs);
		}

		return report.targets.map(use => this.#applyTarget(use, nowMs));
	}

	/** Approves one more request of the team, at an estimated cost. */
	approve(team: string, estimatedCost: number): void {
		const record = this.#teams.get(team);
		if (record) {
			record.approved++;
			record.estimates = [...record.estimates, estimatedCost];
			this.#order.push(team);
			this.isDirty = true;
		}
	}

	/** Grants `count` more slots of the target and raises the keep limit by as many. */
	grant(target: string, count: number): void {
		const slots = this.#slotsOf(target);
		slots.granted += count;
		slots.keep = Math.max(slots.keep, 0) + count;
		this.isDirty = true;
	}

	/** Sets the member's keep limit at the target. A change with `isUrgent` is sent before the member's next report. */
	setKeep(target: string, keep: number, isUrgent: boolean): void {
		const slots = this.#slotsOf(target);
		if (slots.keep !== keep) {
			slots.keep = keep;
			this.isDirty ||= isUrgent;
		}
	}

	/** Removes the pending cost of the member's requests from the shares, when the member is removed. */
	removePendingCost(shares: FairShares): void {
		for (const [team, record] of this.#teams) {
			shares.addPending(team, -sum(record.estimates) - record.demand.runningCost);
			record.estimates = [];
		}

		this.#order = [];
	}

	/** Builds the reply to the member's latest report. The reply lists all slots when a full list is due. Otherwise it lists only slots whose counts changed or that have a lease of their own, as borrowed slots do. */
	allotment(pool: CommonAllotment, leaseMsOf: (target: string) => number, nowMs: number): Allotment {
		const isFull = nowMs >= this.#lastFullMs + FULL_MESSAGE_INTERVAL_MS;
		this.#lastFullMs = isFull ? nowMs : this.#lastFullMs;
		this.isDirty = false;
		this.isAwaitingAllotment = false;
		const approvals = [...new Set(this.#order)];
		return {
			...pool,
			member: this.member,
			incarnation: this.incarnation,
			reportSeq: this.#reportSeq,
			slots: this.#grants(isFull, leaseMsOf),
			approvals: approvals.map(team => ({team, approved: this.#teams.get(team)?.approved ?? 0})),
			order: this.#order.map(team => approvals.indexOf(team)),
		};
	}

	#applyTeam(demand: TeamDemand, shares: FairShares, nowMs: number): void {
		const record = this.#teams.get(demand.team);
		if (!record) {
			shares.addConfirmed(demand.team, demand.charged);
			shares.addPending(demand.team, demand.runningCost);
			this.#teams.set(demand.team, {
				demand, oldestArrivedMs: nowMs - demand.oldestMs, approved: demand.approvalsUsed, estimates: [],
			});
			return;
		}

		const used = demand.approvalsUsed - record.demand.approvalsUsed;
		const estimated = sum(record.estimates.slice(0, used));
		shares.addPending(demand.team, demand.runningCost - record.demand.runningCost - estimated);
		shares.addConfirmed(demand.team, demand.charged - record.demand.charged);
		record.estimates = record.estimates.slice(used);
		this.#dropFromOrder(demand.team, used);
		record.demand = demand;
		record.oldestArrivedMs = nowMs - demand.oldestMs;
	}

	#dropFromOrder(team: string, count: number): void {
		let left = count;
		this.#order = this.#order.filter(entry => {
			const isDropped = entry === team && left > 0;
			left -= isDropped ? 1 : 0;
			return !isDropped;
		});
	}

	#applyTarget(use: TargetUse, nowMs: number): TargetResults {
		const slots = this.#slotsOf(use.target);
		const before = slots.use;
		slots.use = use;
		slots.keep = Math.min(slots.keep, slots.granted - use.released);
		const answered = use.answered - before.answered;
		this.endRate.add(answered, nowMs);
		return {
			target: use.target,
			answered,
			overloaded: use.overloaded - before.overloaded,
			failed: use.failed - before.failed,
			instance: use.instance === before.instance ? '' : use.instance,
			answerMs: use.answerMsSum - before.answerMsSum,
		};
	}

	#slotsOf(target: string): SlotRecord {
		const known = this.#slots.get(target);
		if (known) {
			return known;
		}

		const slots = {
			granted: 0, keep: 0, use: {target, ...NO_USE}, lastSent: '',
		};
		this.#slots.set(target, slots);
		return slots;
	}

	#grants(isFull: boolean, leaseMsOf: (target: string) => number): readonly SlotGrant[] {
		const grants: SlotGrant[] = [];
		for (const [target, slots] of this.#slots) {
			const leaseMs = leaseMsOf(target);
			const text = `${slots.granted} ${slots.keep}`;
			if (isFull || leaseMs > 0 || text !== slots.lastSent) {
				grants.push({
					target, granted: slots.granted, keep: slots.keep, leaseMs,
				});
				slots.lastSent = text;
			}
		}

		return grants;
	}

	#sum(value: (slots: SlotRecord) => number): number {
		let sum = 0;
		for (const slots of this.#slots.values()) {
			sum += value(slots);
		}

		return sum;
	}
}
