/**
 * One VM's part in the dispatch of one service: the pool member, which queues its requests;
 * the pool's dispatcher, if this VM holds the lease; and the slots that the dispatcher
 * borrows from other data centres.
 */
import {Borrower} from '../../core/dispatch/borrower.js';
import {dataCentreMemberId} from '../../core/dispatch/member-record.js';
import {type Allotment, type Exchange, type Report} from '../../core/dispatch/messages.js';
import {PoolDispatcher} from '../../core/dispatch/pool-dispatcher.js';
import {PoolMember, type LeaseHolder, type MemberEffect} from '../../core/dispatch/pool-member.js';
import {type DispatchRequest, type Grant, type GrantResult} from '../../core/dispatch/types.js';
import {type LoadReport} from '../../core/target/types.js';
import {type SharingConfig} from '../../core/config/fleet-config.js';
import {chooseTarget} from './choose-target.js';
import {allotmentToMessage, exchangeToMessage, reportToMessage} from './convert.js';
import {isTargetInService} from './in-service.js';
import {type ServiceOptions, type ServiceScheduler} from './types.js';

/** Milliseconds between messages to the dispatchers of other data centres while requests are queued. Such an exchange reports the charged and the pending cost of each team. */
const EXCHANGE_INTERVAL_MS = 100;
/** Least milliseconds between a report and the next one that is sent without waiting for a tick. */
const MIN_REPORT_GAP_MS = 2;
/** Most members of a pool for which each report leads to a plan of its own. A plan computes the allotments of slots to all members. */
const MANY_MEMBERS = 16;
/** Least milliseconds between two plans of a pool with more than `MANY_MEMBERS` members. */
const MIN_PLAN_GAP_MS = 5;
/** A team is also charged for its usage in other data centres. This is the largest lead over the least served team that such a charge may give it, in multiples of the largest request cost. */
const MAX_REMOTE_LEAD_REQUESTS = 2;

export class ServiceDispatch implements ServiceScheduler {
	readonly service: string;
	readonly member: PoolMember;
	readonly #options: ServiceOptions;
	readonly #borrowers = new Map<string, Borrower>();
	#dispatcher: PoolDispatcher | undefined;
	#lastReportMs = -Infinity;
	#lastPlanMs = -Infinity;
	#lastExchangeMs = -Infinity;
	#lastBorrowMs = -Infinity;
	#isReportDue = false;
	#isPlanDue = false;

	constructor(options: ServiceOptions) {
		this.#options = options;
		this.service = options.service;
		this.member = new PoolMember({
			service: options.service,
			dataCentre: options.dataCentre,
			vm: options.vm,
			vmIncarnation: options.incarnation,
			addressOf: target => this.#addressOf(target),
			choose: chooseTarget,
			maxQueuedOf: team => options.config()?.teams[team]?.maxQueued ?? 0,
		});
	}

	get dispatcher(): PoolDispatcher | undefined {
		return this.#dispatcher;
	}

	get queued(): number {
		return this.member.queued;
	}

	get running(): number {
		return this.member.running;
	}

	get sharing(): Pick<SharingConfig, 'tickMs' | 'idleTickMs' | 'slotLeaseMs'> {
		const {overrides, config} = this.#options;
		const sharing = config()?.sharing;
		return {
			tickMs: overrides.tickMs ?? sharing?.tickMs ?? 40,
			idleTickMs: overrides.idleTickMs ?? sharing?.idleTickMs ?? 250,
			slotLeaseMs: overrides.slotLeaseMs ?? sharing?.slotLeaseMs ?? 2000,
		};
	}

	withdraw(request: DispatchRequest): void {
		this.member.withdraw(request.team, request.requestId);
	}

	isValid(grant: Grant, nowMs: number): boolean {
		return this.member.isValid(grant, nowMs);
	}

	submit(request: DispatchRequest, nowMs: number): void {
		this.#applyEffects(this.member.submit(request, nowMs));
	}

	end(grant: Grant, result: GrantResult, nowMs: number): void {
		this.#applyEffects(this.member.end(grant, result, nowMs));
	}

	leave(): void {
		this.#applyEffects(this.member.setLeaving());
	}

	onReport(report: Report, nowMs: number): void {
		if (this.#dispatcher && report.dispatcher === this.#options.vm) {
			this.#dispatcher.onReport(report, nowMs);
			this.#isPlanDue = true;
			this.#planIfDue(nowMs);
		}
	}

	onAllotment(allotment: Allotment, nowMs: number): void {
		if (allotment.member === this.#options.vm) {
			this.#applyEffects(this.member.onAllotment(allotment, nowMs));
		} else if (allotment.member === dataCentreMemberId(this.#options.dataCentre)) {
			this.#borrowers.get(allotment.dataCentre)?.onAllotment(allotment, nowMs);
			this.#plan(nowMs);
		}
	}

	onExchange(exchange: Exchange, nowMs: number): void {
		if (exchange.dataCentre !== this.#options.dataCentre) {
			this.#dispatcher?.onExchange(exchange, nowMs);
		}
	}

	onLoadReport(target: string, report: LoadReport | undefined, nowMs: number): void {
		if (report) {
			this.#dispatcher?.onLoadReport(target, report, nowMs);
		} else {
			this.#dispatcher?.onUnreachable(target, nowMs);
		}
	}

	/** Performs what is due: applies changes of the lease, expires requests and grants, and sends reports, plans and exchanges. */
	tick(nowMs: number): void {
		this.#followLease(nowMs);
		this.#assignTargets(nowMs);
		this.#applyEffects(this.member.expire(nowMs));
		const {tickMs, idleTickMs} = this.sharing;
		if (nowMs >= this.#lastReportMs + (this.member.isBusy ? tickMs : idleTickMs)) {
			this.#sendReport(nowMs);
		}

		this.#isPlanDue ||= nowMs >= this.#lastPlanMs + (this.#dispatcher?.isOrdered ? tickMs : idleTickMs);
		this.#planIfDue(nowMs);

		this.#borrow(nowMs);
		this.#sendExchange(nowMs);
	}

	/** Sends the reports that are due ahead of the tick. */
	sendDueReport(nowMs: number): void {
		if (this.#isReportDue && nowMs >= this.#lastReportMs + MIN_REPORT_GAP_MS) {
			this.#sendReport(nowMs);
		}

		for (const borrower of this.#borrowers.values()) {
			if (borrower.hasFreeSlot) {
				this.#sendBorrowerReport(borrower, nowMs);
			}
		}
	}

	#sendReport(nowMs: number): void {
		const report = this.member.buildReport(nowMs);
		this.#isReportDue = false;
		this.#lastReportMs = nowMs;
		if (!report) {
			return;
		}

		if (report.dispatcher === this.#options.vm) {
			this.onReport(report, nowMs);
		} else {
			this.#options.send(report.dispatcher, {reports: [reportToMessage(report)]});
		}
	}

	#applyEffects(effects: readonly MemberEffect[]): void {
		this.#isReportDue ||= effects.some(effect => effect.kind === 'report');
		this.#options.onEffects(effects);
	}

	#addressOf(target: string): string | undefined {
		const config = this.#options.config();
		const spec = config?.targets[target];
		return config && spec && isTargetInService(config, spec) ? spec.address : undefined;
	}

	#holderOf(dataCentre: string): LeaseHolder | undefined {
		const holder = this.#options.leases.holderOf(this.#options.service, dataCentre);
		return holder && {vm: holder.vm, epoch: BigInt(holder.epoch)};
	}

	/** Starts or stops dispatching according to the lease, and passes the lease holder to the pool member. */
	#followLease(nowMs: number): void {
		const {service, vm, dataCentre, leases} = this.#options;
		const ownEpoch = leases.ownEpoch(service);
		if (ownEpoch === undefined) {
			this.#stopDispatching();
		} else if (this.#dispatcher?.options.epoch !== BigInt(ownEpoch)) {
			this.#startDispatching(BigInt(ownEpoch), nowMs);
		}

		const holder = this.#holderOf(dataCentre);
		this.#applyEffects(this.member.setHolder(holder?.vm === vm && ownEpoch === undefined ? undefined : holder));
	}

	#startDispatching(epoch: bigint, nowMs: number): void {
		const {service, dataCentre, vm, aliveVms, config} = this.#options;
		this.#borrowers.clear();
		this.#dispatcher = new PoolDispatcher({
			service,
			dataCentre,
			vm,
			epoch,
			settings: () => this.#poolSettings(),
			weightOf: team => config()?.teams[team]?.weight ?? 1,
			expectedMembers: aliveVms(),
		}, nowMs);
		this.#assignTargets(nowMs);
	}

	#stopDispatching(): void {
		this.#dispatcher = undefined;
		this.#borrowers.clear();
	}

	#poolSettings() {
		const spec = this.#options.config()?.services[this.#options.service];
		return {
			...this.sharing,
			maxRunMs: spec?.maxRunMs ?? 60_000,
			maxRemoteLead: MAX_REMOTE_LEAD_REQUESTS * (spec?.maxCost ?? 1000),
		};
	}

	#assignTargets(nowMs: number): void {
		const config = this.#options.config();
		const {service, dataCentre} = this.#options;
		if (!this.#dispatcher || !config) {
			return;
		}

		const assigned = Object.entries(config.targets)
			.filter(([, target]) => target.service === service && target.dataCentre === dataCentre)
			.map(([name, target]) => ({name, contract: target.contract, isInService: isTargetInService(config, target)}));
		this.#dispatcher.setTargets(assigned, nowMs);
	}

	/** Makes a plan if one is due. In a large pool, reports that arrive close together share a plan, because the cost of a plan grows with the number of members. */
	#planIfDue(nowMs: number): void {
		const gapMs = (this.#dispatcher?.members.size ?? 0) > MANY_MEMBERS ? MIN_PLAN_GAP_MS : 0;
		if (this.#isPlanDue && nowMs >= this.#lastPlanMs + gapMs) {
			this.#plan(nowMs);
		}
	}

	#plan(nowMs: number): void {
		const {service, vm, leases} = this.#options;
		// The lease may have expired since the last tick, and without it nothing may be granted.
		if (!this.#dispatcher || leases.ownEpoch(service) === undefined) {
			return;
		}

		this.#lastPlanMs = nowMs;
		this.#isPlanDue = false;
		for (const allotment of this.#dispatcher.plan(nowMs)) {
			const receiver = this.#receiverOf(allotment.member);
			if (receiver === vm) {
				this.onAllotment(allotment, nowMs);
			} else if (receiver !== undefined) {
				this.#options.send(receiver, {allotments: [allotmentToMessage(allotment)]});
			}
		}
	}

	/** Returns the VM that receives the allotments of a member. If the member stands for another data centre, that is the lease holder there. */
	#receiverOf(member: string): string | undefined {
		const dataCentre = Object.keys(this.#options.config()?.dataCentres ?? {}).find(name => dataCentreMemberId(name) === member);
		return dataCentre === undefined ? member : this.#holderOf(dataCentre)?.vm;
	}

	#otherDataCentres(): readonly string[] {
		return Object.keys(this.#options.config()?.dataCentres ?? {}).filter(name => name !== this.#options.dataCentre);
	}

	#borrow(nowMs: number): void {
		if (!this.#dispatcher) {
			return;
		}

		const isDue = nowMs >= this.#lastBorrowMs + this.sharing.tickMs;
		this.#lastBorrowMs = isDue ? nowMs : this.#lastBorrowMs;
		for (const lender of this.#otherDataCentres()) {
			const borrower = this.#borrower(lender, this.#dispatcher);
			borrower.setHolder(this.#holderOf(lender), nowMs);
			if (isDue) {
				this.#sendBorrowerReport(borrower, nowMs);
			}
		}
	}

	#sendBorrowerReport(borrower: Borrower, nowMs: number): void {
		const report = borrower.buildReport(nowMs);
		if (report) {
			this.#options.send(report.dispatcher, {reports: [reportToMessage(report)]});
		}
	}

	#borrower(lender: string, pool: PoolDispatcher): Borrower {
		const known = this.#borrowers.get(lender);
		if (known) {
			return known;
		}

		const borrower = new Borrower({
			pool,
			lender,
			vmIncarnation: `${this.#options.incarnation}:${pool.options.epoch}`,
			contractOf: target => this.#options.config()?.targets[target]?.contract,
		});
		this.#borrowers.set(lender, borrower);
		return borrower;
	}

	#sendExchange(nowMs: number): void {
		if (!this.#dispatcher?.isOrdered || nowMs < this.#lastExchangeMs + EXCHANGE_INTERVAL_MS) {
			return;
		}

		this.#lastExchangeMs = nowMs;
		const exchange = this.#dispatcher.buildExchange(`${this.#options.incarnation}:${this.#dispatcher.options.epoch}`);
		for (const dataCentre of this.#otherDataCentres()) {
			const receiver = this.#holderOf(dataCentre)?.vm;
			if (receiver !== undefined) {
				this.#options.send(receiver, {exchanges: [exchangeToMessage(exchange)]});
			}
		}
	}
}
