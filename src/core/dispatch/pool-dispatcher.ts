/**
 * The dispatcher of one pool: a service's targets in one data centre.
 *
 * It hands slots of targets to members (entry VMs, and dispatchers of other data centres
 * that borrow) and, while work waits, approves asks in the order of fair shares. A
 * member's slots are counted until it gives them back, so the sum over all members never
 * exceeds what a target bears.
 */
import {FairShares} from '../fair/fair-shares.js';
import {LOAD_REPORT_LAG_MS} from '../target/target-limit.js';
import {type LoadReport} from '../target/types.js';
import {type Contract} from '../config/fleet-config.js';
import {approveAhead, assignFreeSlots, reclaimLentSlot} from './assign.js';
import {MemberRecord} from './member-record.js';
import {type Allotment, type Exchange, type Report} from './messages.js';
import {PoolTarget, type Loan} from './pool-target.js';
import {RateMeter} from './rate-meter.js';
import {RemoteShares} from './remote-shares.js';
import {initialKeepLimits, reclaimIdleSlots, spreadIdleSlots} from './spread.js';

/** Time without waiting work after which differences between teams are forgotten. */
const BUSY_PERIOD_GAP_MS = 1000;
/** Time for which asks of one team must wait before approvals are required; of several, none. */
const ORDERED_AFTER_MS = 30;
/** Time for which approvals stay required after the last ask waited. */
const ORDERED_HOLD_MS = 100;

export type PoolSettings = {
	readonly tickMs: number;
	readonly slotLeaseMs: number;
	/** Longest time a request may run, in milliseconds. */
	readonly maxRunMs: number;
	/** Cost units by which service elsewhere may set a team back. */
	readonly maxRemoteCharge: number;
};

export type PoolDispatcherOptions = {
	readonly service: string;
	readonly dataCentre: string;
	readonly vm: string;
	readonly epoch: bigint;
	readonly settings: () => PoolSettings;
	readonly weightOf: (team: string) => number;
	/** VMs that may still use slots granted by an earlier dispatcher. */
	readonly expectedMembers: readonly string[];
};

/** A target that operators assigned to the pool. */
export type AssignedTarget = {readonly name: string; readonly contract: Contract; readonly isInService: boolean};

export class PoolDispatcher {
	readonly options: PoolDispatcherOptions;
	readonly shares: FairShares;
	readonly members = new Map<string, MemberRecord>();
	readonly targets = new Map<string, PoolTarget>();
	readonly #remoteShares: RemoteShares;
	readonly #drainRate: RateMeter;
	readonly #startedMs: number;
	#expectedMembers: ReadonlySet<string>;
	#lastWaitingMs = -Infinity;
	#waitingSinceMs: number | undefined;
	#isOrdered = false;

	constructor(options: PoolDispatcherOptions, nowMs: number) {
		this.options = options;
		this.shares = new FairShares(options.weightOf);
		this.#remoteShares = new RemoteShares(this.shares);
		this.#drainRate = new RateMeter(nowMs);
		this.#startedMs = nowMs;
		this.#expectedMembers = new Set(options.expectedMembers);
	}

	get isOrdered(): boolean {
		return this.#isOrdered;
	}

	/** Asks waiting at members of this data centre. */
	get queued(): number {
		return this.#ownMembers().reduce((sum, member) => sum + member.queued, 0);
	}

	/** Slots of own targets that nobody holds. */
	get freeSlots(): number {
		return [...this.targets.values()].filter(target => !target.loan).reduce((sum, target) => sum + Math.max(0, this.freeAt(target)), 0);
	}

	/** Slots of the target that nobody holds; negative when its limit fell below what is held. */
	freeAt(target: PoolTarget): number {
		let held = target.lostSlots;
		for (const member of this.members.values()) {
			held += member.heldAt(target.name);
		}

		return target.slots - held;
	}

	/** Waiting asks without an approval, by team, over all members. */
	demand(): ReadonlyMap<string, number> {
		const demand = new Map<string, number>();
		for (const member of this.members.values()) {
			for (const team of member.teams) {
				const count = member.demandOf(team);
				if (count > 0) {
					demand.set(team, (demand.get(team) ?? 0) + count);
				}
			}
		}

		return demand;
	}

	/** Takes over the operators' assignment of targets. */
	setTargets(assigned: readonly AssignedTarget[], nowMs: number): void {
		const names = new Set(assigned.map(target => target.name));
		for (const target of this.targets.values()) {
			if (!target.loan && !names.has(target.name)) {
				target.isInService = false;
			}
		}

		for (const {name, contract, isInService} of assigned) {
			const target = this.targets.get(name) ?? new PoolTarget(name, contract, nowMs);
			target.limit.setContract(contract);
			target.isInService = isInService;
			this.targets.set(name, target);
		}
	}

	/** Another data centre's dispatcher lends slots of one of its targets, or takes them back. */
	setLoan(name: string, contract: Contract, loan: Loan, nowMs: number): void {
		const target = this.targets.get(name) ?? new PoolTarget(name, contract, nowMs);
		target.loan = loan;
		this.targets.set(name, target);
	}

	/** The target reported its load. */
	onLoadReport(name: string, report: LoadReport, nowMs: number): void {
		this.targets.get(name)?.limit.onLoad(report, nowMs);
	}

	/** The target could not be reached for its load. */
	onUnreachable(name: string, nowMs: number): void {
		this.targets.get(name)?.limit.onUnreachable(nowMs);
	}

	/** Another data centre told the service its teams received. */
	onExchange(exchange: Exchange, nowMs: number): void {
		this.#remoteShares.apply(exchange, this.options.settings().maxRemoteCharge, this.demand(), nowMs);
	}

	/** What this data centre's teams received, to be told to the others. */
	buildExchange(incarnation: string): Exchange {
		const services = new Map<string, {charged: number; promised: number}>();
		const demand = this.demand();
		for (const member of this.#ownMembers()) {
			for (const team of member.teams) {
				const before = services.get(team) ?? {charged: 0, promised: 0};
				services.set(team, {charged: before.charged + member.chargedOf(team), promised: before.promised + member.pendingCostOf(team)});
			}
		}

		return {
			service: this.options.service,
			dataCentre: this.options.dataCentre,
			incarnation,
			epoch: this.options.epoch,
			teams: [...services].map(([team, service]) => ({team, ...service, backlogged: demand.has(team)})),
			queued: this.queued,
			idle: this.freeSlots,
		};
	}

	/** A member reported. Call `plan` afterwards. */
	onReport(report: Report, nowMs: number): void {
		const known = this.members.get(report.member);
		if (known?.incarnation !== report.incarnation) {
			this.#join(report, known, nowMs);
			return;
		}

		const hadDemand = new Set([...known.teams].filter(team => known.demandOf(team) > 0));
		for (const seen of known.applyReport(report, this.shares, nowMs)) {
			this.#drainRate.add(seen.answered, nowMs);
			this.targets.get(seen.target)?.addResults(seen, nowMs);
		}

		this.#startBacklogs(known, hadDemand);
	}

	/** Assigns slots and approvals; returns the allotments that have to be sent now. */
	plan(nowMs: number): readonly Allotment[] {
		this.#removeLapsedMembers(nowMs);
		this.#expireLoansAndLostSlots(nowMs);
		if (this.#mayGrant(nowMs)) {
			assignFreeSlots(this);
		}

		const waitingTeams = this.demand().size;
		const isWaiting = waitingTeams > 0;
		this.#updateMode(waitingTeams, nowMs);
		const keepLimits = initialKeepLimits(this);
		if (this.#isOrdered) {
			approveAhead(this, keepLimits, nowMs);
			reclaimLentSlot(this, keepLimits);
		} else if (isWaiting) {
			reclaimIdleSlots(this, keepLimits);
		} else if (this.#mayGrant(nowMs)) {
			spreadIdleSlots(this, keepLimits, nowMs);
		}

		this.#applyKeepLimits(keepLimits, isWaiting && !this.#isOrdered);
		return this.#allotments(nowMs);
	}

	#ownMembers(): readonly MemberRecord[] {
		return [...this.members.values()].filter(member => !member.isDataCentre);
	}

	#join(report: Report, known: MemberRecord | undefined, nowMs: number): void {
		if (known) {
			this.#removeMember(known, isSameProcess(known.incarnation, report.incarnation), nowMs);
		}

		const member = new MemberRecord(report, this.shares, nowMs);
		this.members.set(report.member, member);
		this.#expectedMembers = new Set([...this.#expectedMembers].filter(vm => vm !== report.member));
		for (const use of report.targets) {
			this.targets.get(use.target)?.limit.onAnswers({
				answered: 0, overloaded: 0, failed: 0, instance: use.instance,
			}, nowMs);
		}

		this.#startBacklogs(member, new Set());
	}

	/** What a lost process still runs counts against its targets; a live one told it anew. */
	#removeMember(member: MemberRecord, isSameProcess: boolean, nowMs: number): void {
		member.removePendingCost(this.shares);
		this.members.delete(member.member);
		if (isSameProcess) {
			return;
		}

		for (const name of member.targets) {
			this.targets.get(name)?.addLostSlots(member.heldAt(name), nowMs, this.options.settings().maxRunMs);
		}
	}

	#startBacklogs(member: MemberRecord, hadDemand: ReadonlySet<string>): void {
		const demand = this.demand();
		for (const team of member.teams) {
			const countHere = member.demandOf(team);
			const isOnlyHere = demand.get(team) === countHere;
			if (countHere > 0 && !hadDemand.has(team) && isOnlyHere) {
				this.shares.startBacklog(team, demand.keys());
			}
		}
	}

	#removeLapsedMembers(nowMs: number): void {
		for (const member of this.members.values()) {
			if (nowMs >= member.lastReportMs + this.options.settings().slotLeaseMs) {
				this.#removeMember(member, false, nowMs);
			}
		}
	}

	#expireLoansAndLostSlots(nowMs: number): void {
		for (const target of this.targets.values()) {
			if (target.loan && nowMs >= target.loan.validUntilMs) {
				target.loan = {...target.loan, slots: 0};
			}

			if (target.lostSlots > 0) {
				const running = [...this.members.values()].reduce((sum, member) => sum + member.runningAt(target.name), 0);
				target.settleLostSlots(running, LOAD_REPORT_LAG_MS, nowMs);
			}
		}
	}

	/** An earlier dispatcher's grants must have lapsed, or all its members have joined here. */
	#mayGrant(nowMs: number): boolean {
		return this.#expectedMembers.size === 0 || nowMs >= this.#startedMs + this.options.settings().slotLeaseMs;
	}

	#updateMode(waitingTeams: number, nowMs: number): void {
		const isWaiting = waitingTeams > 0;
		this.#waitingSinceMs = isWaiting ? this.#waitingSinceMs ?? nowMs : undefined;
		if (isWaiting) {
			this.#lastWaitingMs = nowMs;
		} else if (nowMs >= this.#lastWaitingMs + BUSY_PERIOD_GAP_MS) {
			this.shares.endBusyPeriod();
		}

		const isContended = waitingTeams > 1 || (this.#waitingSinceMs !== undefined && nowMs >= this.#waitingSinceMs + ORDERED_AFTER_MS);
		const isOrdered = isContended || (this.#isOrdered && nowMs < this.#lastWaitingMs + ORDERED_HOLD_MS);
		if (isOrdered !== this.#isOrdered) {
			this.#isOrdered = isOrdered;
			for (const member of this.members.values()) {
				member.isDirty = true;
			}
		}
	}

	#applyKeepLimits(keepLimits: KeepLimits, isUrgent: boolean): void {
		const shrunk = new Set([...this.targets.values()].filter(target => this.freeAt(target) < 0).map(target => target.name));
		for (const [member, byTarget] of keepLimits) {
			for (const [target, keep] of byTarget) {
				member.setKeep(target, keep, isUrgent || shrunk.has(target));
			}
		}
	}

	#allotments(nowMs: number): readonly Allotment[] {
		const settings = this.options.settings();
		const pool = {
			service: this.options.service,
			dataCentre: this.options.dataCentre,
			epoch: this.options.epoch,
			dispatcher: this.options.vm,
			ordered: this.#isOrdered,
			drainPerS: this.#drainRate.perSecond(nowMs),
			queued: this.queued,
			leaseMs: settings.slotLeaseMs,
		};
		const leaseMsOf = (name: string) => {
			const loan = this.targets.get(name)?.loan;
			return loan ? Math.max(1, Math.min(settings.slotLeaseMs, Math.floor(loan.validUntilMs - nowMs))) : 0;
		};

		return [...this.members.values()]
			.filter(member => member.isDirty || member.isAwaitingAllotment)
			.map(member => member.allotment(pool, leaseMsOf, nowMs));
	}
}

/** The most slots that members may keep, by target. */
export type KeepLimits = Map<MemberRecord, Map<string, number>>;

const isSameProcess = (incarnation: string, other: string) => incarnation.split('/')[0] === other.split('/')[0];
