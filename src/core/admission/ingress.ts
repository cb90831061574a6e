/**
 * Admission control of callers' requests by CPU time, from the head of a request alone.
 * Handles a flood of one team at one small VM: the load balancer chooses the VM by a hash
 * of the caller, so several hundred requests a second can reach a VM that serves a hundred.
 *
 * The module keeps a backlog in milliseconds of CPU time. Each request adds its estimated
 * cost, time takes off what the VM's budget processes, and the CPU time that was measured
 * corrects the sum. While the backlog is short everything is admitted. Otherwise teams that
 * send no more than an even part of what can be admitted (max-min fairness) go first, and
 * a flooding team gets what is left over.
 */
import {fairLevel} from '../placement/fair-level.js';
import {createCpuCostFit, type CpuCosts} from './cpu-costs.js';

/** Milliseconds between measurements of the CPU time used. */
const MEASUREMENT_INTERVAL_MS = 100;
/**
 * Part of the budget that may be planned. Requests that have not been read yet wait in the
 * kernel and are not counted here: they are reached in time only if the process has idle time.
 */
const PLANNED_SHARE = 0.85;
/** Milliseconds within which the budget can process a full backlog: callers have to be answered within half a second. */
const FULL_BACKLOG_MS = 150;
/** Parts of a full backlog up to which teams that send more than an even part are admitted: those that got nothing, and those that got an even part. */
const UNSERVED_TEAM_BACKLOG_SHARE = 0.9;
const SERVED_TEAM_BACKLOG_SHARE = 0.3;
/** Part of what can be admitted that is divided while requests wait in the kernel, since more were sent than have been counted. */
const SATURATED_CAPACITY_SHARE = 0.5;
/** Full backlogs up to which everything is admitted while all teams together send no more than can be admitted in half a second: a burst. */
const BURST_FACTOR = 2;
/** Factor by which counts of requests by team lose weight with each measurement: they cover about half a second. */
const COUNT_DECAY = 0.8;
/** Counts below this are forgotten. */
const MIN_COUNT = 0.05;
/** Milliseconds between computations of the even part while the backlog is large; a flood of 700 requests/s brings 14 in that time. */
const FAIR_SHARE_INTERVAL_MS = 20;
/** Part of the budget that is left for admitted requests, whatever refusals cost: teams within their even part are served before the others are answered. */
const MIN_ADMITTED_SHARE = 0.4;
/**
 * Milliseconds without an idle one after which requests are taken to wait in the kernel: the
 * process reads only as fast as it works, so the backlog alone would show them much later.
 */
const SATURATED_AFTER_MS = 120;
/** Milliseconds of idle time that count; a turn of the loop that finds work takes less. */
const MIN_IDLE_MS = 0.5;
/** Part of the budget that is kept at most for requests that are open. */
const MAX_RESERVE_SHARE = 0.6;
/** Milliseconds without an idle one, although requests are refused, after which the VM counts as overloaded. */
const OVERLOADED_AFTER_MS = 2000;

export type AdmissionControlOptions = {
	/** Part of a processor that the VM may use; unknown if absent. */
	readonly processorShare: number | undefined;
	/** Factor of that part. The process runs on one thread, so more than a whole processor cannot be used. */
	readonly processors: number;
	/** CPU time that the process has used, in milliseconds. */
	readonly usedMs: () => number;
	/** Time that the process has waited for work, in milliseconds. */
	readonly idleMs: () => number;
	/** Requests that are open now. */
	readonly open: () => number;
};

/** Figures of the admission control, for log lines and metrics. */
export type AdmissionFigures = CpuCosts & {
	/** Milliseconds that the budget needs to process the backlog. */
	readonly backlogMs: number;
	/** CPU milliseconds a second. */
	readonly budgetMs: number;
	readonly admitted: number;
	readonly refused: number;
};

export type AdmissionControl = {
	/** Whether the VM's part of a processor is known. */
	readonly hasBudget: boolean;
	/** Counts a request; whether it is admitted. */
	readonly admit: (team: string, nowMs: number) => boolean;
	/** To be called several times a second, also while no requests arrive. */
	readonly tick: (nowMs: number) => void;
	/** Whether the VM cannot catch up by refusing requests. */
	readonly isOverloaded: () => boolean;
	/** Part of the last requests that was refused, from 0 to 1. */
	readonly refusedShare: () => number;
	readonly figures: () => AdmissionFigures;
};

type TeamCount = {offered: number; admitted: number};

/** Counts of a measurement window that has not ended yet. */
type Window = {
	readonly startMs: number;
	readonly usedMs: number;
	admitted: number;
	refused: number;
	/** CPU time that was added to the backlog. */
	plannedMs: number;
	/** Open requests times milliseconds. */
	openMs: number;
};

/** Counts of requests by team over about half a second. */
const createTeamCounts = () => {
	const counts = new Map<string, TeamCount>();
	return {
		of(team: string): TeamCount {
			const count = counts.get(team) ?? {offered: 0, admitted: 0};
			counts.set(team, count);
			return count;
		},
		offered: (): readonly number[] => [...counts.values()].map(({offered}) => offered),
		decay() {
			for (const [team, count] of counts) {
				count.offered *= COUNT_DECAY;
				count.admitted *= COUNT_DECAY;
				if (count.offered < MIN_COUNT) {
					counts.delete(team);
				}
			}
		},
	};
};

const sumOf = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0);

/** Milliseconds that the counts of teams cover. */
const COUNT_WINDOW_MS = MEASUREMENT_INTERVAL_MS / (1 - COUNT_DECAY);

class CpuBudgetAdmission implements AdmissionControl {
	readonly #options: AdmissionControlOptions;
	/** CPU milliseconds that may be planned, per millisecond. */
	readonly #budget: number;
	readonly #costFit = createCpuCostFit();
	readonly #teams = createTeamCounts();
	#costs: CpuCosts;
	#window: Window | undefined;
	#lastMs = 0;
	#idle = {atMs: -Infinity, totalMs: 0};
	#backlogMs = 0;
	#isSaturated = false;
	#fairShare = Infinity;
	#fairShareAtMs = -Infinity;
	#refused = 0;
	#admitted = 0;
	#refusedShare = 0;

	constructor(options: AdmissionControlOptions) {
		this.#options = options;
		this.#budget = Math.min(1, (options.processorShare ?? 1) * options.processors) * PLANNED_SHARE;
		this.#costs = this.#costFit.costs();
	}

	get hasBudget(): boolean {
		return true;
	}

	admit(team: string, nowMs: number): boolean {
		this.tick(nowMs);
		const count = this.#teams.of(team);
		count.offered++;
		const isAdmitted = this.#backlogMs < this.#backlogLimitOf(count, nowMs);
		const costMs = isAdmitted ? this.#costs.admittedMs : this.#costs.refusedMs;
		this.#backlogMs += costMs;
		const window = this.#windowAt(nowMs);
		window.plannedMs += costMs;
		if (isAdmitted) {
			window.admitted++;
			count.admitted++;
			this.#admitted++;
		} else {
			window.refused++;
			this.#refused++;
		}

		return isAdmitted;
	}

	tick(nowMs: number): void {
		const open = this.#options.open();
		const elapsedMs = Math.max(0, nowMs - this.#lastMs);
		const window = this.#windowAt(nowMs);
		if (this.#lastMs > 0) {
			window.openMs += open * elapsedMs;
			const reserveMs = this.#reservedRate(open) * elapsedMs;
			window.plannedMs += reserveMs;
			this.#backlogMs = Math.max(0, this.#backlogMs + reserveMs - (this.#budget * elapsedMs));
		}

		this.#lastMs = nowMs;
		this.#recordIdle(nowMs);
		if (nowMs - window.startMs >= MEASUREMENT_INTERVAL_MS) {
			this.#measure(window, nowMs);
		}
	}

	isOverloaded(): boolean {
		return this.#lastMs - this.#idle.atMs > OVERLOADED_AFTER_MS;
	}

	refusedShare(): number {
		return this.#refusedShare;
	}

	figures(): AdmissionFigures {
		return {
			...this.#costs, backlogMs: this.#backlogMs / this.#budget, budgetMs: this.#budget * 1000, admitted: this.#admitted, refused: this.#refused,
		};
	}

	/** A full backlog, in CPU milliseconds. */
	get #fullBacklogMs(): number {
		return this.#budget * FULL_BACKLOG_MS;
	}

	/** CPU milliseconds per millisecond for open requests and the process itself. */
	#reservedRate(open: number): number {
		return Math.min(this.#budget * MAX_RESERVE_SHARE, ((open * this.#costs.openMs) + this.#costs.idleMs) / 1000);
	}

	#recordIdle(nowMs: number): void {
		const totalMs = this.#options.idleMs();
		if (totalMs - this.#idle.totalMs >= MIN_IDLE_MS || this.#idle.atMs === -Infinity) {
			this.#idle = {atMs: nowMs, totalMs};
		}

		this.#isSaturated = nowMs - this.#idle.atMs > SATURATED_AFTER_MS;
		if (this.#isSaturated) {
			this.#backlogMs = Math.max(this.#backlogMs, this.#fullBacklogMs * UNSERVED_TEAM_BACKLOG_SHARE);
		}
	}

	#windowAt(nowMs: number): Window {
		this.#window ??= this.#newWindow(nowMs);
		return this.#window;
	}

	#newWindow(nowMs: number): Window {
		return {
			startMs: nowMs, usedMs: this.#options.usedMs(), admitted: 0, refused: 0, plannedMs: 0, openMs: 0,
		};
	}

	#measure(window: Window, nowMs: number): void {
		const next = this.#newWindow(nowMs);
		const spanMs = nowMs - window.startMs;
		const usedMs = next.usedMs - window.usedMs;
		this.#costFit.add({
			admitted: window.admitted, refused: window.refused, openS: window.openMs / 1000, spanS: spanMs / 1000, usedMs,
		});
		// Work planned here and done in a later window is taken off now and added then.
		const limitMs = this.#fullBacklogMs * SERVED_TEAM_BACKLOG_SHARE;
		const correctedMs = this.#backlogMs + Math.min(limitMs, Math.max(-limitMs, usedMs - window.plannedMs));
		// No more than a full backlog is kept, so that it is worked off soon after a flood.
		this.#backlogMs = Math.max(0, Math.min(correctedMs, this.#fullBacklogMs));
		this.#costs = this.#costFit.costs();
		const total = window.admitted + window.refused;
		this.#refusedShare = total === 0 ? 0 : window.refused / total;
		this.#teams.decay();
		this.#fairShareAtMs = -Infinity;
		this.#window = next;
	}

	/** Backlog up to which requests of a team are admitted. */
	#backlogLimitOf({offered, admitted}: TeamCount, nowMs: number): number {
		const fullMs = this.#fullBacklogMs;
		if (this.#backlogMs < fullMs * SERVED_TEAM_BACKLOG_SHARE) {
			return Infinity;
		}

		const fairShare = this.#currentFairShare(nowMs);
		if (fairShare === Infinity) {
			return fullMs * BURST_FACTOR;
		}

		return offered <= fairShare ? Infinity : fullMs * (UNSERVED_TEAM_BACKLOG_SHARE - ((UNSERVED_TEAM_BACKLOG_SHARE - SERVED_TEAM_BACKLOG_SHARE) * Math.min(1, admitted / fairShare)));
	}

	/** Requests of one team that can be admitted, in the span that counts cover, if all get the same. */
	#currentFairShare(nowMs: number): number {
		if (nowMs - this.#fairShareAtMs >= FAIR_SHARE_INTERVAL_MS) {
			this.#fairShareAtMs = nowMs;
			const offered = this.#teams.offered();
			const {admittedMs, refusedMs} = this.#costs;
			const availableMs = (this.#budget - this.#reservedRate(this.#options.open())) * COUNT_WINDOW_MS;
			const refusalsMs = sumOf(offered) * refusedMs;
			const capacity = Math.max(availableMs * MIN_ADMITTED_SHARE, availableMs - refusalsMs) / Math.max(admittedMs / 2, admittedMs - refusedMs);
			this.#fairShare = fairLevel(offered, this.#isSaturated ? capacity * SATURATED_CAPACITY_SHARE : capacity);
		}

		return this.#fairShare;
	}
}

/** Admits everything: the VM's share of a processor is not known. */
const unlimited: AdmissionControl = {
	hasBudget: false,
	admit: () => true,
	tick() {
		// There is no budget to compare with.
	},
	isOverloaded: () => false,
	refusedShare: () => 0,
	figures: () => ({
		admittedMs: 0, refusedMs: 0, openMs: 0, idleMs: 0, backlogMs: 0, budgetMs: 0, admitted: 0, refused: 0,
	}),
};

/** Admission control of a VM without requests. */
export const createAdmissionControl = (options: AdmissionControlOptions): AdmissionControl =>
	options.processorShare === undefined || options.processorShare === 0 ? unlimited : new CpuBudgetAdmission(options);
