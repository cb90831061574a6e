/**
 * What the other VMs report of their requests, summed as reports come and lapse. In a large
 * fleet the reports at hand are a sample, and sums over them are scaled to the whole.
 */

/** Milliseconds for which a team counts as waiting at a VM that reported so. */
const WAITS_VALID_MS = 1500;
/** Milliseconds for which the waiting teams are used again; about as long as it takes until new reports come. */
const WAITING_EVERY_MS = 50;

/** A VM's requests at one target that have not ended. */
export type TargetLoad = {
	readonly target: string;
	readonly running: number;
	/** Prompt tokens that the target has not read yet. */
	readonly readingTokens: number;
	/** Tokens that it keeps for the requests. */
	readonly heldTokens: number;
};

/** What a VM's requests of one team received and wait for. */
export type TeamLoad = {
	readonly service: string;
	readonly team: string;
	/** Cost of the requests that were started, older ones counting less. */
	readonly use: number;
	/** Cost of the requests that arrived, in the same way. */
	readonly asked: number;
	readonly waits: boolean;
};

/** What a team asked for and received through several VMs. */
export type TeamSum = Pick<TeamLoad, 'use' | 'asked'>;

export type VmLoads = {
	readonly vm: string;
	readonly incarnation: string;
	readonly sequence: number;
	readonly targets: readonly TargetLoad[];
	readonly teams: readonly TeamLoad[];
};

type Report = {readonly loads: VmLoads; readonly atMs: number};
/** Requests at a target, whichever it is. */
export type Load = Omit<TargetLoad, 'target'>;

const NOTHING: Load = {running: 0, readingTokens: 0, heldTokens: 0};
const NO_SUM: TeamSum = {use: 0, asked: 0};

const hasWaits = ({teams}: VmLoads): boolean => teams.some(({waits}) => waits);

export class FleetLoads {
	readonly #reports = new Map<string, Report>();
	readonly #sums = new Map<string, Load>();
	/** By service, then by team. */
	readonly #teamSums = new Map<string, Map<string, TeamSum>>();
	readonly #waiting = new Map<string, {readonly teams: ReadonlySet<string>; readonly atMs: number}>();
	/** Other VMs for each one that is heard. */
	#scale = 1;

	/** Takes in a report; one that is older than the last is ignored. */
	addReport(loads: VmLoads, nowMs: number): void {
		const known = this.#reports.get(loads.vm);
		if (known?.loads.incarnation === loads.incarnation && loads.sequence <= known.loads.sequence) {
			return;
		}

		this.#forget(loads.vm);
		this.#reports.set(loads.vm, {loads, atMs: nowMs});
		this.#add(loads, 1);
		if (hasWaits(loads) || (known && hasWaits(known.loads))) {
			this.#waiting.clear();
		}
	}

	/**
	 * Drops reports that no longer count.
	 *
	 * @param others - VMs besides this one, when reports of only a part of them are at hand.
	 */
	expire(nowMs: number, validMs: number, others?: number): void {
		for (const [vm, {atMs}] of this.#reports) {
			if (nowMs - atMs > validMs) {
				this.#forget(vm);
			}
		}

		this.#scale = others === undefined || this.reportingVms === 0 ? 1 : Math.max(1, others / this.reportingVms);
	}

	/** VMs whose reports count. */
	get reportingVms(): number {
		return this.#reports.size;
	}

	/** All other VMs' requests at a target. */
	at(target: string): Load {
		return this.#sums.get(target) ?? NOTHING;
	}

	/** What a team asked for and received through the other VMs. */
	teamSum(service: string, team: string): TeamSum {
		const {use, asked} = this.#teamSums.get(service)?.get(team) ?? NO_SUM;
		return {use: use * this.#scale, asked: asked * this.#scale};
	}

	/** Teams of which the other VMs report. */
	teamsOf(service: string): readonly string[] {
		return [...this.#teamSums.get(service)?.keys() ?? []];
	}

	/** Teams whose requests wait at other VMs. */
	teamsWaitingElsewhere(service: string, nowMs: number): ReadonlySet<string> {
		const known = this.#waiting.get(service);
		if (known && nowMs - known.atMs < WAITING_EVERY_MS) {
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

		this.#waiting.set(service, {teams, atMs: nowMs});
		return teams;
	}

	#forget(vm: string): void {
		const report = this.#reports.get(vm);
		this.#reports.delete(vm);
		if (report) {
			this.#add(report.loads, -1);
		}
	}

	#add({targets, teams}: VmLoads, sign: 1 | -1): void {
		for (const {target, running, readingTokens, heldTokens} of targets) {
			const sum = this.at(target);
			this.#sums.set(target, {
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
