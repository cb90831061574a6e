/**
 * Demand and usage of the teams of one service, through this VM and, by their reports, through
 * the other VMs. Two rules follow from them: a team whose usage is far above that of a team
 * queued at another VM waits for it, and a team beyond its max-min fair share of the engines'
 * capacity yields to the other teams.
 */
import {maxMinLevel} from './fair-level.js';
import {type FleetLoads, type TeamSum} from './fleet-loads.js';
import {createDecayingSums, DECAY_MS} from './decaying-sums.js';

/** Lead in usage that a team may have over one that is queued at another VM: a factor, and a number of average requests. Reports are some hundred milliseconds old, so a smaller lead would leave capacity idle. */
const LEAD_FACTOR = 1.25;
const LEAD_REQUESTS = 2;
/** Multiple of its fair share that a team may use before its requests yield, since late responses are worth less. */
const SHARE_MARGIN = 1.15;
/** Milliseconds for which a computed share is valid; reports of other VMs arrive about as often. */
const SHARE_VALID_MS = 50;
/** Weight of one request in the average cost. */
const AVERAGE_WEIGHT = 0.05;
const MS_PER_S = 1000;

export type TeamSharesOptions = {
	readonly service: string;
	readonly fleet: FleetLoads;
	/** Returns the cost that all targets together sustain per second, by the active configuration; undefined if unknown. */
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

	/** Returns the demand and usage of each team through this VM. */
	localSums(nowMs: number): ReadonlyMap<string, TeamSum> {
		const teams = new Set([...this.#demand.keys(nowMs), ...this.#usage.keys(nowMs)]);
		return new Map([...teams].map(team => [team, {use: this.#usage.of(team, nowMs), asked: this.#demand.of(team, nowMs)}]));
	}

	/** Returns the usage of a team through all VMs. */
	usageOf(team: string, nowMs: number): number {
		const {service, fleet} = this.#options;
		return this.#usage.of(team, nowMs) + fleet.teamSum(service, team).use;
	}

	/** Returns the usage beyond which a team waits for the teams that are queued at other VMs. */
	usageCeiling(nowMs: number): number {
		const {service, fleet} = this.#options;
		const usages = [...fleet.teamsWaitingElsewhere(service, nowMs)].map(team => this.usageOf(team, nowMs));
		return usages.length === 0 ? Infinity : (Math.min(...usages) * LEAD_FACTOR) + (this.#averageCost * LEAD_REQUESTS);
	}

	/** Whether the usage of a team exceeds its max-min fair share, so that its requests yield. */
	isBeyondShare(team: string, nowMs: number): boolean {
		return this.usageOf(team, nowMs) > this.shareUsage(nowMs);
	}

	/** Returns the usage beyond which the requests of a team yield. */
	shareUsage(nowMs: number): number {
		if (nowMs >= this.#share.untilMs) {
			this.#share = {usage: this.#computeShare(nowMs), untilMs: nowMs + SHARE_VALID_MS};
		}

		return this.#share.usage;
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

		// The decayed sum of a steady rate is the rate times the decay time.
		return maxMinLevel([...demands.values()], capacity * DECAY_MS / MS_PER_S) * SHARE_MARGIN;
	}
}
