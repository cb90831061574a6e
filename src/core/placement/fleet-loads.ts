/** What the other VMs report of their requests, summed as reports come and lapse. */
import {decayUse} from './team-use.js';

/** Milliseconds for which a report counts; a few reports may be lost on the way. */
const REPORT_VALID_MS = 1500;
/** Milliseconds for which sums over all reports are used again; about as long as it takes until new reports come. */
const TEAM_SUMS_VALID_MS = 50;

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

export class FleetLoads {
	readonly #reports = new Map<string, Report>();
	readonly #sums = new Map<string, Load>();
	readonly #teamSums = new Map<string, {readonly sums: ReadonlyMap<string, TeamSum>; readonly atMs: number}>();

	/** Takes in a report; one that is older than the last is ignored. */
	take(loads: VmLoads, nowMs: number): void {
		const known = this.#reports.get(loads.vm);
		if (known?.loads.incarnation === loads.incarnation && loads.sequence <= known.loads.sequence) {
			return;
		}

		this.#forget(loads.vm);
		this.#reports.set(loads.vm, {loads, atMs: nowMs});
		for (const load of loads.targets) {
			this.#add(load, 1);
		}
	}

	/** Drops reports that no longer count. */
	expire(nowMs: number): void {
		for (const [vm, {atMs}] of this.#reports) {
			if (nowMs - atMs > REPORT_VALID_MS) {
				this.#forget(vm);
			}
		}
	}

	/** VMs whose reports count. */
	get heard(): number {
		return this.#reports.size;
	}

	/** All other VMs' requests at a target. */
	at(target: string): Load {
		return this.#sums.get(target) ?? NOTHING;
	}

	/** What the teams asked for and received through the other VMs. */
	teams(service: string, nowMs: number): ReadonlyMap<string, TeamSum> {
		const known = this.#teamSums.get(service);
		if (known && nowMs - known.atMs < TEAM_SUMS_VALID_MS) {
			return known.sums;
		}

		const sums = new Map<string, TeamSum>();
		for (const {loads, atMs} of this.#reports.values()) {
			for (const load of loads.teams) {
				if (load.service === service) {
					const sum = sums.get(load.team);
					sums.set(load.team, {
						use: (sum?.use ?? 0) + decayUse(load.use, nowMs - atMs),
						asked: (sum?.asked ?? 0) + decayUse(load.asked, nowMs - atMs),
					});
				}
			}
		}

		this.#teamSums.set(service, {sums, atMs: nowMs});
		return sums;
	}

	/** Teams whose requests wait at other VMs. */
	waitingElsewhere(service: string): ReadonlySet<string> {
		const teams = new Set<string>();
		for (const {loads} of this.#reports.values()) {
			for (const load of loads.teams) {
				if (load.waits && load.service === service) {
					teams.add(load.team);
				}
			}
		}

		return teams;
	}

	#forget(vm: string): void {
		const report = this.#reports.get(vm);
		this.#reports.delete(vm);
		for (const load of report?.loads.targets ?? []) {
			this.#add(load, -1);
		}
	}

	#add({target, running, readingTokens, heldTokens}: TargetLoad, sign: 1 | -1): void {
		const sum = this.at(target);
		this.#sums.set(target, {
			running: sum.running + (sign * running),
			readingTokens: sum.readingTokens + (sign * readingTokens),
			heldTokens: sum.heldTokens + (sign * heldTokens),
		});
	}
}
