/**
 * What the teams of one service asked for and received, through this VM and, as they
 * report, through the others. Two orders follow from it: a team that is ahead of one that
 * waits elsewhere lets it go first, and a team that received its max-min share of what
 * the engines can do gives way to the teams that did not.
 */
import {fairLevel} from './fair-level.js';
import {type FleetLoads, type TeamSum} from './fleet-loads.js';
import {createDecayingSums, DECAY_MS} from './team-use.js';

/** How far a team may be ahead of one that waits elsewhere: a factor on its use, and average requests. Reports are some hundred milliseconds old, so a smaller lead would leave capacity idle. */
const LEAD_FACTOR = 1.25;
const LEAD_REQUESTS = 2;
/** What a team may receive of its share before its requests give way, as a factor: answers that come late are worth less. */
const SHARE_MARGIN = 1.15;
/** Milliseconds for which a computed share holds; reports of other VMs come about as often. */
const SHARE_VALID_MS = 50;
/** Weight of one request in the average cost. */
const AVERAGE_WEIGHT = 0.05;
const MS_PER_S = 1000;

export type TeamSharesOptions = {
	readonly service: string;
	readonly fleet: FleetLoads;
	/** Cost that all targets together bear in a second, as now in force; undefined if unknown. */
	readonly capacityPerS: () => number | undefined;
};

export class TeamShares {
	readonly #options: TeamSharesOptions;
	readonly #usage = createDecayingSums();
	readonly #demand = createDecayingSums();
	#averageCost = 0;
	#share = {usage: Infinity, untilMs: -Infinity};

	constructor(options: TeamSharesOptions) {
		this.#options = options;
	}

	noteArrival(team: string, cost: number, nowMs: number): void {
		this.#demand.add(team, cost, nowMs);
	}

	noteStarted(team: string, cost: number, nowMs: number): void {
		this.#usage.add(team, cost, nowMs);
		this.#averageCost += (cost - this.#averageCost) * AVERAGE_WEIGHT;
	}

	/** What each team asked for and received through this VM. */
	localSums(nowMs: number): ReadonlyMap<string, TeamSum> {
		const teams = new Set([...this.#demand.teams(nowMs), ...this.#usage.teams(nowMs)]);
		return new Map([...teams].map(team => [team, {use: this.#usage.of(team, nowMs), asked: this.#demand.of(team, nowMs)}]));
	}

	/** What a team received through all VMs. */
	usageOf(team: string, nowMs: number): number {
		const {service, fleet} = this.#options;
		return this.#usage.of(team, nowMs) + fleet.teamSum(service, team).use;
	}

	/** Use beyond which a team lets the teams go first that wait at other VMs. */
	usageCeiling(nowMs: number): number {
		const {service, fleet} = this.#options;
		const usages = [...fleet.teamsWaitingElsewhere(service, nowMs)].map(team => this.usageOf(team, nowMs));
		return usages.length === 0 ? Infinity : (Math.min(...usages) * LEAD_FACTOR) + (this.#averageCost * LEAD_REQUESTS);
	}

	/** Whether a team received its max-min share, so that its requests give way to others'. */
	isBeyondShare(team: string, nowMs: number): boolean {
		if (nowMs >= this.#share.untilMs) {
			this.#share = {usage: this.#computeShare(nowMs), untilMs: nowMs + SHARE_VALID_MS};
		}

		return this.usageOf(team, nowMs) > this.#share.usage;
	}

	#computeShare(nowMs: number): number {
		const {service, fleet, capacityPerS} = this.#options;
		const capacity = capacityPerS();
		if (capacity === undefined) {
			return Infinity;
		}

		const demands = new Map(fleet.teamsOf(service).map(team => [team, fleet.teamSum(service, team).asked]));
		for (const [team, sum] of this.localSums(nowMs)) {
			demands.set(team, (demands.get(team) ?? 0) + sum.asked);
		}

		// A steady rate shows as the cost of one decay time.
		return fairLevel([...demands.values()], capacity * DECAY_MS / MS_PER_S) * SHARE_MARGIN;
	}
}
