/**
 * The dispatcher of one data centre as a member of another data centre's pool of the same
 * service. It requests slots while requests wait at its own members, grants the borrowed
 * slots to these members, and releases them when they are idle. A borrowed slot is never
 * lent to a third data centre.
 */
import {type Contract} from '../config/fleet-config.js';
import {dataCentreMemberId} from './member-record.js';
import {
	type Allotment, type Report, type TargetUse, type TeamDemand,
} from './messages.js';
import {FULL_MESSAGE_INTERVAL_MS, type LeaseHolder} from './pool-member.js';
import {type PoolDispatcher} from './pool-dispatcher.js';

type BorrowedSlots = {granted: number; released: number; keep: number};

export type BorrowerOptions = {
	readonly pool: PoolDispatcher;
	/** Data centre of the pool that lends slots. */
	readonly lender: string;
	/** Incarnation of the process that borrows. */
	readonly vmIncarnation: string;
	/** Returns the contract of a target of any data centre. */
	readonly contractOf: (target: string) => Contract | undefined;
};

/** Number of latest reports whose send times are kept; replies to older reports are ignored. */
const KEPT_SEND_TIMES = 64;

export class Borrower {
	readonly #options: BorrowerOptions;
	readonly #borrowed = new Map<string, BorrowedSlots>();
	readonly #approved = new Map<string, number>();
	readonly #sentAtMs = new Map<number, number>();
	#holder: LeaseHolder | undefined;
	#session = 0;
	#isJoined = false;
	#validUntilMs = 0;
	#seq = 0;
	#lastReportMs = -Infinity;

	constructor(options: BorrowerOptions) {
		this.#options = options;
	}

	get incarnation(): string {
		return `${this.#options.vmIncarnation}/${this.#session}`;
	}

	/** Sets the holder of the lender's lease, if any, and joins its pool again if the holder or its epoch has changed. */
	setHolder(holder: LeaseHolder | undefined, nowMs: number): void {
		if (holder?.vm !== this.#holder?.vm || holder?.epoch !== this.#holder?.epoch) {
			this.#holder = holder;
			this.#join(nowMs);
		}
	}

	/** Builds the report that is due now; undefined when there are no slots to request, release or renew. */
	buildReport(nowMs: number): Report | undefined {
		if (this.#isJoined && nowMs >= this.#validUntilMs) {
			this.#join(nowMs);
		}

		const {pool} = this.#options;
		const demands = this.#demands(nowMs);
		const isHolding = [...this.#borrowed.values()].some(({granted, released}) => granted > released);
		const isDue = demands.length > 0 || this.hasFreeSlot || (isHolding && nowMs >= this.#lastReportMs + (FULL_MESSAGE_INTERVAL_MS / 4));
		if (!this.#holder || !isDue) {
			return undefined;
		}

		this.#releaseFree(nowMs);
		this.#lastReportMs = nowMs;
		this.#seq++;
		this.#sentAtMs.set(this.#seq, nowMs);
		this.#sentAtMs.delete(this.#seq - KEPT_SEND_TIMES);
		return {
			service: pool.options.service,
			dataCentre: this.#options.lender,
			member: dataCentreMemberId(pool.options.dataCentre),
			incarnation: this.incarnation,
			seq: this.#seq,
			epoch: this.#isJoined ? this.#holder.epoch : 0n,
			dispatcher: this.#holder.vm,
			teams: demands,
			targets: [...this.#borrowed].map(([target, lent]) => this.#targetUse(target, lent)),
			urgent: demands.length > 0,
			leaving: false,
		};
	}

	/** Handles the lender's reply: makes the borrowed slots available as targets of this data centre's pool. */
	onAllotment(allotment: Allotment, nowMs: number): void {
		const sentAtMs = this.#sentAtMs.get(allotment.reportSeq);
		const isCurrent = allotment.incarnation === this.incarnation && allotment.epoch === this.#holder?.epoch;
		if (!isCurrent || sentAtMs === undefined) {
			return;
		}

		this.#isJoined = true;
		this.#validUntilMs = Math.max(this.#validUntilMs, sentAtMs + allotment.leaseMs);
		const teams = this.#newlyApproved(allotment);
		const newlyLentFor = new Map<string, readonly string[]>();
		for (const {target, granted, keep} of allotment.slots) {
			const before = this.#borrowed.get(target) ?? {granted: 0, released: 0};
			newlyLentFor.set(target, teams.splice(0, Math.max(0, granted - before.granted)));
			this.#borrowed.set(target, {granted, released: before.released, keep});
		}

		this.#applyLoans(nowMs);
		for (const [name, lentFor] of newlyLentFor) {
			const target = this.#options.pool.targets.get(name);
			if (target) {
				target.lentFor = [...target.lentFor, ...lentFor];
			}
		}
	}

	/** Returns the teams of the approvals that are new in the allotment, one entry per approval. */
	#newlyApproved({approvals}: Allotment): string[] {
		const teams: string[] = [];
		for (const {team, approved} of approvals) {
			const count = Math.max(0, approved - (this.#approved.get(team) ?? 0));
			teams.push(...Array.from({length: count}, () => team));
			this.#approved.set(team, approved);
		}

		return teams;
	}

	#applyLoans(nowMs: number): void {
		const {pool, lender, contractOf} = this.#options;
		for (const [target, {granted, released, keep}] of this.#borrowed) {
			const contract = contractOf(target);
			if (contract) {
				const slots = this.#isJoined ? Math.min(granted - released, keep) : 0;
				pool.setLoan(target, contract, {lender, slots, validUntilMs: this.#validUntilMs}, nowMs);
			}
		}
	}

	#join(nowMs: number): void {
		this.#session++;
		this.#isJoined = false;
		this.#sentAtMs.clear();
		this.#approved.clear();
		for (const target of this.#borrowed.keys()) {
			this.#borrowed.set(target, {granted: 0, released: 0, keep: 0});
		}

		this.#applyLoans(nowMs);
	}

	/** Whether a borrowed slot is held by no member of this data centre, so that it can be released. */
	get hasFreeSlot(): boolean {
		return this.#isJoined && [...this.#borrowed].some(([target, lent]) => lent.granted - lent.released > this.#heldByMembers(target));
	}

	/** Releases the borrowed slots that no member of this data centre holds. The dispatcher's last call of `plan` found no request for them. */
	#releaseFree(nowMs: number): void {
		if (!this.#isJoined) {
			return;
		}

		for (const [target, lent] of this.#borrowed) {
			this.#clearLentFor(target);
			const free = lent.granted - lent.released - this.#heldByMembers(target);
			this.#borrowed.set(target, {...lent, released: lent.released + Math.max(0, free)});
		}

		// Without this update, the pool of this data centre could grant the released slots again.
		this.#applyLoans(nowMs);
	}

	#clearLentFor(name: string): void {
		const target = this.#options.pool.targets.get(name);
		if (target) {
			target.lentFor = [];
		}
	}

	#heldByMembers(target: string): number {
		const lost = this.#options.pool.targets.get(target)?.lostSlots ?? 0;
		return lost + this.#sumOfMembers(member => member.heldAt(target));
	}

	#sumOfMembers(value: (member: {heldAt: (target: string) => number; runningAt: (target: string) => number}) => number): number {
		let sum = 0;
		for (const member of this.#options.pool.members.values()) {
			sum += member.isDataCentre ? 0 : value(member);
		}

		return sum;
	}

	#demands(nowMs: number): readonly TeamDemand[] {
		const {pool} = this.#options;
		const demands = new Map<string, TeamDemand>();
		for (const member of pool.members.values()) {
			for (const team of member.isDataCentre ? [] : member.teams) {
				const queued = member.demandOf(team);
				const before = demands.get(team);
				if (queued > 0) {
					demands.set(team, {
						team,
						queued: queued + (before?.queued ?? 0),
						meanCost: before?.meanCost ?? member.meanCostOf(team),
						oldestMs: Math.max(Math.round(nowMs - member.oldestArrivedMsOf(team)), before?.oldestMs ?? 0),
						charged: 0,
						runningCost: 0,
						approvalsUsed: this.#approved.get(team) ?? 0,
					});
				}
			}
		}

		return [...demands.values(), ...this.#teamsWithoutDemand(demands)];
	}

	/** Returns entries for teams without waiting requests whose approvals the lender still counts as outstanding. */
	#teamsWithoutDemand(demands: ReadonlyMap<string, TeamDemand>): readonly TeamDemand[] {
		return demands.size === 0
			? []
			: [...this.#approved].filter(([team]) => !demands.has(team)).map(([team, approvalsUsed]) => ({
				team, queued: 0, meanCost: 0, oldestMs: 0, charged: 0, runningCost: 0, approvalsUsed,
			}));
	}

	#targetUse(target: string, {released}: BorrowedSlots): TargetUse {
		const totals = this.#options.pool.targets.get(target)?.totals;
		return {
			target,
			running: this.#isJoined ? this.#sumOfMembers(member => member.runningAt(target)) : this.#heldByMembers(target),
			released,
			answered: totals?.answered ?? 0,
			overloaded: totals?.overloaded ?? 0,
			failed: totals?.failed ?? 0,
			answerMsSum: totals?.answerMsSum ?? 0,
			instance: totals?.instance ?? '',
		};
	}
}
