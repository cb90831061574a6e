/**
 * Start-time fair queueing over teams. Each team has a tag: the service that it received
 * plus its pending cost (the estimated cost of its running and approved requests), divided
 * by its weight. The backlogged team with the lowest tag is served next, so the tags of
 * backlogged teams stay within about one request of each other.
 *
 * Confirmed service and pending cost are kept apart, since pending cost is an estimate that
 * is corrected when requests end. A team whose backlog begins starts level with the others'
 * confirmed service only: level with their estimates, it would be served too little if these
 * turned out too high.
 *
 * Source: P. Goyal, H. Vin, H. Cheng, "Start-time Fair Queueing", 1996.
 */
export class FairShares {
	/** Confirmed service by team, in cost units per unit of weight. */
	readonly #confirmed = new Map<string, number>();
	/** Pending cost by team, in cost units per unit of weight. */
	readonly #pending = new Map<string, number>();
	readonly #weightOf: (team: string) => number;
	/** Confirmed service, per unit of weight, of teams without an entry. */
	#initialConfirmed = 0;

	/** `weightOf` returns a team's weight, which is above zero. */
	constructor(weightOf: (team: string) => number) {
		this.#weightOf = weightOf;
	}

	/** Returns the team's confirmed service plus pending cost, in cost units per unit of weight. */
	tagOf(team: string): number {
		return this.confirmedOf(team) + (this.#pending.get(team) ?? 0);
	}

	/** Returns the team's confirmed service, which is that of its ended requests, in cost units per unit of weight. */
	confirmedOf(team: string): number {
		return this.#confirmed.get(team) ?? this.#initialConfirmed;
	}

	/**
	 * Starts a team's backlog. The team is owed nothing for the time in which it had no
	 * waiting requests: it starts level with the team of `backlogged` with the least service.
	 */
	startBacklog(team: string, backlogged: Iterable<string>): void {
		const level = this.#lowestConfirmed(team, backlogged);
		this.#confirmed.set(team, Math.max(this.confirmedOf(team), level));
	}

	/** Returns the first of the teams with the lowest tag; undefined when there are no teams. */
	lowest(teams: Iterable<string>): string | undefined {
		let lowest: string | undefined;
		let lowestTag = Infinity;
		for (const team of teams) {
			const tag = this.tagOf(team);
			if (tag < lowestTag) {
				lowest = team;
				lowestTag = tag;
			}
		}

		return lowest;
	}

	/** Changes the pending cost of a team by `cost` units, which may be negative. */
	addPending(team: string, cost: number): void {
		this.#pending.set(team, (this.#pending.get(team) ?? 0) + (cost / this.#weightOf(team)));
	}

	/** Adds the actual cost of ended requests to the team's confirmed service. */
	addConfirmed(team: string, cost: number): void {
		this.#confirmed.set(team, this.confirmedOf(team) + (cost / this.#weightOf(team)));
	}

	/**
	 * Adds cost as `addConfirmed` does, but puts the team at most `maxLead` cost units ahead
	 * of the backlogged team with the least confirmed service.
	 */
	addConfirmedBounded(team: string, cost: number, maxLead: number, backlogged: Iterable<string>): void {
		const weight = this.#weightOf(team);
		const before = this.confirmedOf(team);
		const ceiling = Math.max(before, this.#lowestConfirmed(team, backlogged) + (maxLead / weight));
		this.#confirmed.set(team, Math.min(before + (cost / weight), ceiling));
	}

	/** Ends a busy period: sets the confirmed service of all teams to the highest one, which resets the differences between them. */
	endBusyPeriod(): void {
		for (const confirmed of this.#confirmed.values()) {
			this.#initialConfirmed = Math.max(this.#initialConfirmed, confirmed);
		}

		this.#confirmed.clear();
	}

	/** Returns the least confirmed service among the other backlogged teams, or the team's own when there are none. */
	#lowestConfirmed(team: string, backlogged: Iterable<string>): number {
		let level = Infinity;
		for (const other of backlogged) {
			if (other !== team) {
				level = Math.min(level, this.confirmedOf(other));
			}
		}

		return level === Infinity ? this.confirmedOf(team) : level;
	}
}
