/**
 * The dispatcher of one pool: a service's targets in one data centre.
 *
 * It grants slots of targets to the members: entry VMs, and dispatchers of other data
 * centres that borrow. While requests wait, it approves them in the order of fair shares.
 * A member's slots count as held until it releases them, so the sum over all members never
 * exceeds the target's limit.
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

/** Time without waiting requests after which differences of service between teams are reset. */
const BUSY_PERIOD_GAP_MS = 1000;
/** Time for which requests of a single team must wait before ordered mode begins. With several waiting teams it begins at once. */
const ORDERED_AFTER_MS = 30;
/** Time for which ordered mode lasts after the last request waited. */
const ORDERED_HOLD_MS = 100;

export type PoolSettings = {
	readonly tickMs: number;
	readonly slotLeaseMs: number;
	/** Longest time for which a request may run, in milliseconds. */
	readonly maxRunMs: number;
	/** Most cost units by which a team may be ahead of the team with the least service, after a partition, because of a charge for service in another data centre. */
	readonly maxRemoteLead: number;
};

export type PoolDispatcherOptions = {
	readonly service: string;
	readonly dataCentre: string;
	readonly vm: string;
	readonly epoch: bigint;
	readonly settings: () => PoolSettings;
	readonly weightOf: (team: string) => number;
	/** VMs that may still use slots granted by an earlier dispatcher. No slot is granted until they have joined or those slots have expired. */
	readonly expectedMembers: readonly string[];
};

/** A target that the configuration assigns to the pool. */
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

	/** Whether members may start only approved requests, in the approved order. */
	get isOrdered(): boolean {
		return this.#isOrdered;
	}

	/** Number of requests that wait at members of this data centre. */
	get queued(): number {
		return this.#ownMembers().reduce((sum, member) => sum + member.queued, 0);
	}

	/** Number of slots of this data centre's targets that nobody holds. */
	get freeSlots(): number {
		return [...this.targets.values()].filter(target => !target.loan).reduce((sum, target) => sum + Math.max(0, this.freeAt(target)), 0);
	}

	/** Returns the number of the target's slots that nobody holds; negative when its limit has fallen below the slots held. */
	freeAt(target: PoolTarget): number {
		let held = target.lostSlots;
		for (const member of this.members.values()) {
			held += member.heldAt(target.name);
		}

		return target.slots - held;
	}

	/** Returns the number of waiting requests without an approval by team, over all members. */
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

	/** Sets the targets that the configuration assigns to the pool. */
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

	/** Sets the slots of one target that are borrowed from another data centre's dispatcher. */
	setLoan(name: string, contract: Contract, loan: Loan, nowMs: number): void {
		const target = this.targets.get(name) ?? new PoolTarget(name, contract, nowMs);
		target.loan = loan;
		this.targets.set(name, target);
	}

	/** Handles a load report of a target. */
	onLoadReport(name: string, report: LoadReport, nowMs: number): void {
		this.targets.get(name)?.limit.onLoad(report, nowMs);
	}

	/** Handles a failed request for a target's load. */
	onUnreachable(name: string, nowMs: number): void {
		this.targets.get(name)?.limit.onUnreachable(nowMs);
	}

	/** Handles another data centre's report of the service that teams received there. */
	onExchange(exchange: Exchange, nowMs: number): void {
		this.#remoteShares.apply(exchange, this.options.settings().maxRemoteLead, this.demand(), nowMs);
	}

	/** Builds the report, for the other data centres, of the service that teams received in this one. */
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

	/** Handles a member's report. The caller runs `plan` afterwards. */
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

	/** Assigns slots and approvals; returns the allotments to be sent now. */
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

	/** Removes a member. The slots it held still count at their targets, unless the same process joins again and reports them itself. */
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

	/** Starts the backlog of each team whose first waiting requests in the pool are at this member. */
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

	/** Returns whether slots may be granted: all members of an earlier dispatcher have joined this one, or the slots they held have expired. */
	#mayGrant(nowMs: number): boolean {
		return this.#expectedMembers.size === 0 || nowMs >= this.#startedMs + this.options.settings().slotLeaseMs;
	}

	/** Begins or ends ordered mode, and resets the teams' shares after a time without waiting requests. */
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

	/** Sets the keep limits of the members. Limits at a target are urgent in any case when its members hold more slots than the target's limit. */
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

/** Keep limits: the most slots of each target that each member may hold. */
export type KeepLimits = Map<MemberRecord, Map<string, number>>;

const isSameProcess = (incarnation: string, other: string) => incarnation.split('/')[0] === other.split('/')[0];
