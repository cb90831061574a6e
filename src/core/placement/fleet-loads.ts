/**
 * Sums the load reports of the other VMs as they arrive and expire. In a large fleet the
 * reports are a sample, and the sums per team are scaled to the whole fleet.
 */

/** Milliseconds for which a team counts as waiting after a VM reported that requests of the team wait. */
const WAITS_VALID_MS = 1500;
/** Milliseconds for which the set of waiting teams is cached: about the time until new reports arrive. */
const WAITING_CACHE_MS = 50;

/** Unfinished requests of one VM at one target. */
export type TargetLoad = {
	readonly target: string;
	readonly running: number;
	/** Prompt tokens that the target has not prefilled yet. */
	readonly readingTokens: number;
	/** Tokens of KV cache that the requests occupy at most. */
	readonly heldTokens: number;
};

/** Usage and demand of one team at one VM. */
export type TeamLoad = {
	readonly service: string;
	readonly team: string;
	/** Cost of the requests that were started, exponentially decayed. */
	readonly use: number;
	/** Cost of the requests that arrived, exponentially decayed. */
	readonly asked: number;
	/** Whether requests of the team wait for a target. */
	readonly waits: boolean;
};

/** Usage and demand of one team, summed over VMs. */
export type TeamSum = Pick<TeamLoad, 'use' | 'asked'>;

/** Load report of one VM. */
export type VmLoads = {
	readonly vm: string;
	readonly incarnation: string;
	readonly sequence: number;
	readonly targets: readonly TargetLoad[];
	readonly teams: readonly TeamLoad[];
};

type Report = {readonly loads: VmLoads; readonly atMs: number; readonly weight: number};
/** Requests at a target, without its name. */
export type Load = Omit<TargetLoad, 'target'>;

const NO_LOAD: Load = {running: 0, readingTokens: 0, heldTokens: 0};
const NO_SUM: TeamSum = {use: 0, asked: 0};

const hasWaitingTeams = ({teams}: VmLoads): boolean => teams.some(({waits}) => waits);

export class FleetLoads {
	readonly #reports = new Map<string, Report>();
	/** Sums of requests, by target. */
	readonly #targetSums = new Map<string, Load>();
	/** Sums of teams, by service and then by team. */
	readonly #teamSums = new Map<string, Map<string, TeamSum>>();
	/** Teams that wait at other VMs, by service. */
	readonly #waitingTeams = new Map<string, {readonly teams: ReadonlySet<string>; readonly atMs: number}>();
	/** Number of VMs that the valid reports stand for. */
	#weight = 0;
	/** Factor that scales the sums over the VMs with a valid report to all other VMs. */
	#scale = 1;

	/**
	 * Records a report in place of the VM's last one. A report that is not newer is ignored.
	 *
	 * @param weight - Number of VMs that the report stands for (`reportWeight`).
	 */
	addReport(loads: VmLoads, nowMs: number, weight = 1): void {
		const known = this.#reports.get(loads.vm);
		if (known?.loads.incarnation === loads.incarnation && loads.sequence <= known.loads.sequence) {
			return;
		}

		this.#removeReport(loads.vm);
		this.#reports.set(loads.vm, {loads, atMs: nowMs, weight});
		this.#weight += weight;
		this.#addToSums(loads, 1);
		if (hasWaitingTeams(loads) || (known && hasWaitingTeams(known.loads))) {
			this.#waitingTeams.clear();
		}
	}

	/**
	 * Removes the reports that have expired.
	 *
	 * @param others - Number of VMs besides this one, when only some of them send their reports here.
	 */
	expire(nowMs: number, validMs: number, others?: number): void {
		for (const [vm, {atMs}] of this.#reports) {
			if (nowMs - atMs > validMs) {
				this.#removeReport(vm);
			}
		}

		this.#scale = others === undefined || this.reportingVms === 0 ? 1 : Math.max(1, others / this.#weight);
	}

	/** Number of VMs with a valid report. */
	get reportingVms(): number {
		return this.#reports.size;
	}

	/** Returns the requests at a target of all VMs with a valid report. */
	loadAt(target: string): Load {
		return this.#targetSums.get(target) ?? NO_LOAD;
	}

	/** Returns the usage and demand of a team at all other VMs. */
	teamSum(service: string, team: string): TeamSum {
		const {use, asked} = this.#teamSums.get(service)?.get(team) ?? NO_SUM;
		return {use: use * this.#scale, asked: asked * this.#scale};
	}

	/** Returns the teams of a service that the other VMs report. */
	teamsOf(service: string): readonly string[] {
		return [...this.#teamSums.get(service)?.keys() ?? []];
	}

	/** Returns the teams of a service whose requests wait at other VMs. */
	teamsWaitingElsewhere(service: string, nowMs: number): ReadonlySet<string> {
		const known = this.#waitingTeams.get(service);
		if (known && nowMs - known.atMs < WAITING_CACHE_MS) {
			return known.teams;
		}

		const teams = new Set<string>();
		for (const {loads, atMs} of this.#reports.values()) {
			for (const load of loads.teams) {
				if (load.waits && load.service === service && nowMs - atMs <= WAITS_VALID_MS) {
					teams.add(load.team);
				}
			}
		}

		this.#waitingTeams.set(service, {teams, atMs: nowMs});
		return teams;
	}

	#removeReport(vm: string): void {
		const report = this.#reports.get(vm);
		this.#reports.delete(vm);
		if (report) {
			this.#weight -= report.weight;
			this.#addToSums(report.loads, -1);
		}
	}

	#addToSums({targets, teams}: VmLoads, sign: 1 | -1): void {
		for (const {target, running, readingTokens, heldTokens} of targets) {
			const sum = this.loadAt(target);
			this.#targetSums.set(target, {
				running: sum.running + (sign * running),
				readingTokens: sum.readingTokens + (sign * readingTokens),
				heldTokens: sum.heldTokens + (sign * heldTokens),
			});
		}

		for (const {service, team, use, asked} of teams) {
			const sums = this.#teamSums.get(service) ?? new Map<string, TeamSum>();
			this.#teamSums.set(service, sums);
			const sum = sums.get(team) ?? NO_SUM;
			sums.set(team, {use: sum.use + (sign * use), asked: sum.asked + (sign * asked)});
		}
	}
}
