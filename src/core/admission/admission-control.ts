/**
 * Admission control of callers' requests by CPU time. It decides from the head of a request.
 *
 * Load pattern: one team sends far more requests to one small VM than it can serve (a flood).
 * The load balancer chooses the VM by a hash of the caller, so several hundred requests a
 * second can reach a VM that can serve a hundred.
 *
 * The backlog is the CPU time, in milliseconds, that accepted work still needs. Each request
 * adds its estimated cost, elapsed time subtracts what the VM's budget processes, and the
 * measured CPU time corrects the sum. While the backlog is short, every request is admitted.
 * With a longer backlog, teams that send no more than their max-min fair share of the requests
 * that can be admitted have precedence. A team that sends more gets the remaining capacity.
 */
import {maxMinLevel} from '../placement/fair-level.js';
import {createCpuCostFit, type CpuCosts} from './cpu-costs.js';

/** Milliseconds between measurements of the used CPU time. */
const MEASUREMENT_INTERVAL_MS = 100;
/**
 * Share of the VM's CPU time that admission control plans for requests. Requests that wait
 * unread in the kernel are not part of the backlog. The process reads them in time only if it
 * has idle time.
 */
const PLANNED_SHARE = 0.85;
/** Milliseconds in which the budget processes a full backlog. It is short, since each caller needs its response within half a second. */
const FULL_BACKLOG_MS = 150;
/**
 * Shares of a full backlog up to which a team that sends more than its fair share is admitted.
 * The first applies while none of its requests has been admitted, the second once its fair share
 * has been admitted; in between the limit falls linearly. Below the second share every request
 * of every team is admitted.
 */
const UNSERVED_TEAM_BACKLOG_SHARE = 0.9;
const SERVED_TEAM_BACKLOG_SHARE = 0.3;
/** Share of the capacity that is divided between teams while requests wait in the kernel, since teams have then sent more requests than the counts show. */
const SATURATED_CAPACITY_SHARE = 0.5;
/**
 * Multiple of a full backlog up to which every request is admitted while all teams together send
 * no more than can be admitted in half a second, the time that the counts cover. So a short burst
 * is not refused.
 */
const BURST_FACTOR = 2;
/** Factor by which each measurement multiplies the teams' request counts, so that they cover about half a second. */
const COUNT_DECAY = 0.8;
/** Decayed count below which a team is removed from the table. */
const MIN_COUNT = 0.05;
/** Milliseconds between computations of the fair share while the backlog is large. At 700 requests/s, 14 requests arrive in that time. */
const FAIR_SHARE_INTERVAL_MS = 20;
/** Least share, for admitted requests, of the budget that open requests leave, whatever the refusals cost. Requests of teams within their fair share have precedence over refusals. */
const MIN_ADMITTED_SHARE = 0.4;
/**
 * Milliseconds without idle time after which requests are assumed to wait in the kernel. The
 * process reads requests only as fast as it processes them, so unread requests enter the backlog
 * much later.
 */
const SATURATED_AFTER_MS = 120;
/** Least increase of the idle time, in milliseconds, for which the process counts as idle. An event-loop iteration that finds work at once waits for less. */
const MIN_IDLE_MS = 0.5;
/** Largest share of the budget that is reserved for open requests. */
const MAX_RESERVE_SHARE = 0.6;
/** Milliseconds without idle time, although requests are refused, after which the VM counts as overloaded. */
const OVERLOADED_AFTER_MS = 2000;

export type AdmissionControlOptions = {
	/** Share of a processor that the VM may use; undefined if unknown. */
	readonly processorShare: number | undefined;
	/** Speed of the processor as a multiple of an ordinary one. The process runs on one thread, so its budget is at most one processor. */
	readonly processors: number;
	/** Returns the CPU time that the process has used, in milliseconds. */
	readonly usedMs: () => number;
	/** Returns the time that the event loop has waited for work, in milliseconds. */
	readonly idleMs: () => number;
	/** Returns the number of open requests. */
	readonly open: () => number;
};

/** State of the admission control, for log lines and metrics. */
export type AdmissionFigures = CpuCosts & {
	/** Milliseconds in which the budget processes the backlog. */
	readonly backlogMs: number;
	/** Budget in CPU milliseconds a second. */
	readonly budgetMs: number;
	/** Requests admitted and refused since the start. */
	readonly admitted: number;
	readonly refused: number;
};

export type AdmissionControl = {
	/** Whether the VM's share of a processor is known; without it, every request is admitted. */
	readonly hasBudget: boolean;
	/** Counts a request and returns whether it is admitted. */
	readonly admit: (team: string, nowMs: number) => boolean;
	/** Updates the backlog. Has to be called several times a second, also while no requests arrive. */
	readonly tick: (nowMs: number) => void;
	/** Whether the VM has had no idle time for a while, although it refuses requests. */
	readonly isOverloaded: () => boolean;
	/** Returns the share of the requests of the last measurement window that was refused, from 0 to 1. */
	readonly refusedShare: () => number;
	/** Returns the state for log lines and metrics. */
	readonly figures: () => AdmissionFigures;
};

/** Exponentially decayed counts of one team's requests; `offered` includes refused requests. */
type TeamCount = {offered: number; admitted: number};

/** Counts of the current measurement window. */
type Window = {
	readonly startMs: number;
	/** CPU time of the process at the start of the window, in milliseconds. */
	readonly usedMs: number;
	admitted: number;
	refused: number;
	/** CPU time that the window added to the backlog, in milliseconds. */
	plannedMs: number;
	/** Number of open requests, integrated over milliseconds. */
	openMs: number;
};

/** Creates the decayed counts of requests by team, which cover about half a second. */
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

/** Milliseconds of requests that a team's decayed counts cover. */
const COUNT_WINDOW_MS = MEASUREMENT_INTERVAL_MS / (1 - COUNT_DECAY);

class CpuBudgetAdmission implements AdmissionControl {
	readonly #options: AdmissionControlOptions;
	/** CPU milliseconds that may be planned per millisecond of elapsed time. */
	readonly #budget: number;
	readonly #costFit = createCpuCostFit();
	readonly #teams = createTeamCounts();
	#costs: CpuCosts;
	#window: Window | undefined;
	#lastMs = 0;
	/** When the event loop was last idle, and its total idle time then. */
	#idle = {atMs: -Infinity, totalMs: 0};
	#backlogMs = 0;
	/** Whether requests are assumed to wait in the kernel. */
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

	/** Full backlog in CPU milliseconds. */
	get #fullBacklogMs(): number {
		return this.#budget * FULL_BACKLOG_MS;
	}

	/** Returns the CPU milliseconds per millisecond that are reserved for open requests and for the process itself. */
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
		// Work that was planned in this window but runs in a later one is subtracted from the backlog now and added when it runs.
		const limitMs = this.#fullBacklogMs * SERVED_TEAM_BACKLOG_SHARE;
		const correctedMs = this.#backlogMs + Math.min(limitMs, Math.max(-limitMs, usedMs - window.plannedMs));
		// Bounds the backlog by a full one, so that requests are admitted again soon after a flood.
		this.#backlogMs = Math.max(0, Math.min(correctedMs, this.#fullBacklogMs));
		this.#costs = this.#costFit.costs();
		const total = window.admitted + window.refused;
		this.#refusedShare = total === 0 ? 0 : window.refused / total;
		this.#teams.decay();
		this.#fairShareAtMs = -Infinity;
		this.#window = next;
	}

	/** Returns the backlog, in CPU milliseconds, up to which requests of a team are admitted. */
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

	/** Returns the max-min fair share of a team: its requests that can be admitted in the time that counts cover. */
	#currentFairShare(nowMs: number): number {
		if (nowMs - this.#fairShareAtMs >= FAIR_SHARE_INTERVAL_MS) {
			this.#fairShareAtMs = nowMs;
			const offered = this.#teams.offered();
			const {admittedMs, refusedMs} = this.#costs;
			const availableMs = (this.#budget - this.#reservedRate(this.#options.open())) * COUNT_WINDOW_MS;
			const refusalsMs = sumOf(offered) * refusedMs;
			const capacity = Math.max(availableMs * MIN_ADMITTED_SHARE, availableMs - refusalsMs) / Math.max(admittedMs / 2, admittedMs - refusedMs);
			this.#fairShare = maxMinLevel(offered, this.#isSaturated ? capacity * SATURATED_CAPACITY_SHARE : capacity);
		}

		return this.#fairShare;
	}
}

/** Admits every request, for a VM whose share of a processor is not known. */
const unlimited: AdmissionControl = {
	hasBudget: false,
	admit: () => true,
	tick() {
		// Without a budget there is no backlog to update.
	},
	isOverloaded: () => false,
	refusedShare: () => 0,
	figures: () => ({
		admittedMs: 0, refusedMs: 0, openMs: 0, idleMs: 0, backlogMs: 0, budgetMs: 0, admitted: 0, refused: 0,
	}),
};

/** Creates the admission control of a VM that has no requests yet. */
export const createAdmissionControl = (options: AdmissionControlOptions): AdmissionControl =>
	options.processorShare === undefined || options.processorShare === 0 ? unlimited : new CpuBudgetAdmission(options);
