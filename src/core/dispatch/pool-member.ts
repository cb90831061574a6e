/**
 * An entry VM as a member of one pool: the requests that wait at the VM, and the slots it
 * may use.
 *
 * While no requests wait in the pool, the member starts requests on the slots that it holds
 * and sends the dispatcher no message first. In ordered mode, while requests wait, it starts
 * only those that the dispatcher has approved, in the approved order, and releases the slots
 * for which it has no approval.
 */
import {ChangedEntries} from './changed-entries.js';
import {MemberQueues, type RefuseEffect} from './member-queues.js';
import {type MemberSlots} from './member-slots.js';
import {
	type Allotment, type Report, type TargetUse, type TeamDemand,
} from './messages.js';
import {SlotSet} from './slot-set.js';
import {type QueuedRequest} from './team-queue.js';
import {type DispatchRequest, type Grant, type GrantResult} from './types.js';

/** Interval at which a report or an allotment lists all entries, not only those that changed. */
export const FULL_MESSAGE_INTERVAL_MS = 1000;
/** Number of latest reports whose send times are kept; replies to older reports are ignored. */
const KEPT_SEND_TIMES = 256;

export type MemberEffect =
	| {readonly kind: 'start'; readonly request: DispatchRequest; readonly grant: Grant; readonly waitedMs: number}
	| RefuseEffect
	/** A report is to be sent without waiting for the next tick. */
	| {readonly kind: 'report'};

/** The VM that holds the pool's lease and so runs its dispatcher. */
export type LeaseHolder = {readonly vm: string; readonly epoch: bigint};

export type PoolMemberOptions = {
	readonly service: string;
	readonly dataCentre: string;
	readonly vm: string;
	readonly vmIncarnation: string;
	/** Returns the `host:port` of a target that is in service, else undefined. */
	readonly addressOf: (target: string) => string | undefined;
	/** Chooses one of the targets with a usable slot. */
	readonly choose: (request: DispatchRequest, candidates: readonly MemberSlots[]) => MemberSlots;
	readonly maxQueuedOf: (team: string) => number;
};

type Running = {readonly team: string; readonly estimatedCost: number};

export class PoolMember {
	readonly #options: PoolMemberOptions;
	readonly #queues: MemberQueues;
	readonly #slots = new SlotSet();
	readonly #running = new Map<string, Running>();
	readonly #sentAtMs = new Map<number, number>();
	readonly #changedEntries = new ChangedEntries();
	#lastFullMs = -Infinity;
	#holder: LeaseHolder | undefined;
	#session = 0;
	#isJoined = false;
	#validUntilMs = 0;
	#seq = 0;
	#isOrdered = false;
	/** Teams of the approvals not yet used, in the order in which their requests start. */
	#order: string[] = [];
	#grantCount = 0;
	#isLeaving = false;

	constructor(options: PoolMemberOptions) {
		this.#options = options;
		this.#queues = new MemberQueues(options.maxQueuedOf);
	}

	get service(): string {
		return this.#options.service;
	}

	get queued(): number {
		return this.#queues.queued;
	}

	get running(): number {
		return this.#running.size;
	}

	/** Whether reports are to be sent at the short tick interval. */
	get isBusy(): boolean {
		return this.#isOrdered || !this.#isJoined || this.queued > 0;
	}

	get incarnation(): string {
		return `${this.#options.vmIncarnation}/${this.#session}`;
	}

	/** Returns the waiting and running requests of each team at this member, for operators. */
	teamStates(nowMs: number): ReadonlyArray<TeamDemand & {readonly running: number; readonly answered: number}> {
		return this.#queues.all().map(queue => ({...queue.demand(nowMs), running: queue.running, answered: queue.answered}));
	}

	/** Returns the use of slots by target. */
	targetUses(): readonly TargetUse[] {
		return this.#slots.all().map(slots => slots.use());
	}

	/** Makes all further reports state that this VM is leaving. */
	setLeaving(): readonly MemberEffect[] {
		this.#isLeaving = true;
		return [{kind: 'report'}];
	}

	/** Sets the holder of the pool's lease, if any, and joins its pool again if the holder or its epoch has changed. */
	setHolder(holder: LeaseHolder | undefined): readonly MemberEffect[] {
		if (holder?.vm === this.#holder?.vm && holder?.epoch === this.#holder?.epoch) {
			return [];
		}

		this.#holder = holder;
		this.#join();
		return holder ? [{kind: 'report'}] : [];
	}

	/** Starts the request at once if a slot is usable, else queues or refuses it. */
	submit(request: DispatchRequest, nowMs: number): readonly MemberEffect[] {
		const refusal = this.#queues.add(request, nowMs);
		if (refusal) {
			return [refusal];
		}

		const effects = this.#dispatch(nowMs);
		const isWaiting = this.#queues.of(request.team).length > 0;
		return isWaiting && !this.#isOrdered ? [...effects, {kind: 'report'}] : effects;
	}

	/** Removes a waiting request; returns false when the request is not queued at this member. */
	withdraw(team: string, requestId: string): boolean {
		return this.#queues.of(team).remove(requestId) !== undefined;
	}

	/** Returns whether the slot's lease is valid and the target in service; checked right before the first byte is sent. */
	isValid(grant: Grant, nowMs: number): boolean {
		return this.#running.has(grant.grantId)
			&& nowMs < grant.expiresAtMs
			&& this.#options.addressOf(grant.target) !== undefined;
	}

	/** Records how the use of a grant ended. Idle slots are released when the target failed, was overloaded or has restarted. */
	end(grant: Grant, result: GrantResult, nowMs: number): readonly MemberEffect[] {
		const running = this.#running.get(grant.grantId);
		if (!running) {
			return [];
		}

		this.#running.delete(grant.grantId);
		this.#queues.of(running.team).end(running.estimatedCost, result);
		const slots = this.#slots.of(grant.target);
		const isRestarted = result.instance !== undefined && slots.instance !== '' && result.instance !== slots.instance;
		slots.end(result);
		const isSuspect = isRestarted || result.kind === 'failed' || result.kind === 'overloaded';
		if (isSuspect && this.#isJoined) {
			slots.release(slots.idle);
			return [...this.#dispatch(nowMs), {kind: 'report'}];
		}

		return this.#dispatch(nowMs);
	}

	/** Handles the dispatcher's reply to a report. */
	onAllotment(allotment: Allotment, nowMs: number): readonly MemberEffect[] {
		const sentAtMs = this.#sentAtMs.get(allotment.reportSeq);
		const isCurrent = allotment.incarnation === this.incarnation && allotment.epoch === this.#holder?.epoch;
		if (!isCurrent || sentAtMs === undefined) {
			return [];
		}

		this.#isJoined = true;
		this.#validUntilMs = Math.max(this.#validUntilMs, sentAtMs + allotment.leaseMs);
		this.#slots.apply(allotment, sentAtMs);
		this.#applyOrder(allotment);
		this.#isOrdered = allotment.ordered;
		this.#queues.setPoolLoad(allotment);
		return this.#dispatch(nowMs);
	}

	/** Refuses requests that cannot be served in time, and joins the pool again when the slots' lease has expired. */
	expire(nowMs: number): readonly MemberEffect[] {
		const refusals = this.#queues.expire(nowMs);
		if (this.#isJoined && nowMs >= this.#validUntilMs) {
			this.#join();
			return [...refusals, {kind: 'report'}];
		}

		return refusals;
	}

	/** Builds the next report; undefined while nobody holds the pool's lease. */
	buildReport(nowMs: number): Report | undefined {
		if (!this.#holder) {
			return undefined;
		}

		this.#releaseUnusable();
		this.#seq++;
		this.#sentAtMs.set(this.#seq, nowMs);
		this.#sentAtMs.delete(this.#seq - KEPT_SEND_TIMES);
		if (!this.#isJoined || nowMs >= this.#lastFullMs + FULL_MESSAGE_INTERVAL_MS) {
			this.#lastFullMs = nowMs;
			this.#changedEntries.reset();
		}

		return {
			service: this.#options.service,
			dataCentre: this.#options.dataCentre,
			member: this.#options.vm,
			incarnation: this.incarnation,
			seq: this.#seq,
			epoch: this.#isJoined ? this.#holder.epoch : 0n,
			dispatcher: this.#holder.vm,
			teams: this.#queues.all().map(queue => queue.demand(nowMs))
				// The dispatcher derives the age of the oldest request from its arrival, so a changed age needs no message.
				.filter(demand => this.#changedEntries.recordChange(`team ${demand.team}`, {...demand, oldestMs: 0})),
			targets: this.targetUses().filter(use => this.#changedEntries.recordChange(`target ${use.target}`, use)),
			urgent: !this.#isOrdered && this.queued > 0,
			leaving: this.#isLeaving,
		};
	}

	/** Resets all that the dispatcher granted; the next report asks to join. */
	#join(): void {
		this.#session++;
		this.#isJoined = false;
		this.#validUntilMs = 0;
		this.#isOrdered = false;
		this.#order = [];
		this.#sentAtMs.clear();
		this.#slots.rejoin();
		for (const queue of this.#queues.all()) {
			queue.rejoin();
		}
	}

	/** Sets the order of approvals from the allotment, without the approvals that were used after the report that it replies to. */
	#applyOrder(allotment: Allotment): void {
		for (const {team, approved} of allotment.approvals) {
			this.#queues.of(team).approveUpTo(approved);
		}

		const teams = allotment.order.map(index => allotment.approvals[index]?.team ?? '');
		const surplus = new Map<string, number>();
		for (const team of teams) {
			surplus.set(team, (surplus.get(team) ?? -this.#queues.of(team).outstandingApprovals) + 1);
		}

		this.#order = teams.filter(team => {
			const usedSinceReport = surplus.get(team) ?? 0;
			surplus.set(team, usedSinceReport - 1);
			return usedSinceReport <= 0;
		});
	}

	#dispatch(nowMs: number): readonly MemberEffect[] {
		const effects: MemberEffect[] = [];
		for (;;) {
			const candidates = this.#usableSlots(nowMs);
			const waiting = candidates.length > 0 ? this.#nextRequest(nowMs) : undefined;
			if (!waiting) {
				break;
			}

			effects.push(this.#start(waiting, candidates, nowMs));
		}

		if (this.#releaseUnusable() > 0) {
			effects.push({kind: 'report'});
		}

		return effects;
	}

	#usableSlots(nowMs: number): readonly MemberSlots[] {
		return this.#isJoined
			? this.#slots.all().filter(slots => slots.usable(nowMs) > 0 && this.#options.addressOf(slots.target) !== undefined)
			: [];
	}

	#nextRequest(nowMs: number): QueuedRequest | undefined {
		return this.#isOrdered ? this.#nextApproved(nowMs) : this.#nextOldest(nowMs);
	}

	#nextApproved(nowMs: number): QueuedRequest | undefined {
		for (let team = this.#order.shift(); team !== undefined; team = this.#order.shift()) {
			const queue = this.#queues.of(team);
			queue.useApproval();
			const waiting = this.#queues.take(queue, nowMs);
			if (waiting) {
				return waiting;
			}
		}

		return undefined;
	}

	#nextOldest(nowMs: number): QueuedRequest | undefined {
		const oldest = this.#queues.oldest();
		if (!oldest) {
			return undefined;
		}

		if (oldest.outstandingApprovals > 0) {
			oldest.useApproval();
			const index = this.#order.indexOf(oldest.team);
			this.#order = this.#order.filter((_, position) => position !== index);
		}

		return this.#queues.take(oldest, nowMs);
	}

	#start({request, arrivedMs}: QueuedRequest, candidates: readonly MemberSlots[], nowMs: number): MemberEffect {
		const slots = this.#options.choose(request, candidates);
		slots.start();
		this.#grantCount++;
		const grant: Grant = {
			grantId: `${this.#options.service}/${this.incarnation}-${this.#grantCount}`,
			target: slots.target,
			address: this.#options.addressOf(slots.target) ?? '',
			epoch: this.#holder?.epoch ?? 0n,
			instance: slots.instance,
			expiresAtMs: slots.validUntilMs,
		};
		this.#running.set(grant.grantId, {team: request.team, estimatedCost: request.estimatedCost});
		return {
			kind: 'start', request, grant, waitedMs: nowMs - arrivedMs,
		};
	}

	/** Releases the slots above the keep limits and, in ordered mode, the idle slots that exceed the outstanding approvals. Returns the number released. */
	#releaseUnusable(): number {
		if (!this.#isJoined) {
			return 0;
		}

		return this.#slots.release(this.#isOrdered ? Math.max(0, this.#slots.idle - this.#order.length) : 0);
	}
}
