/**
 * Start-time fair queueing over teams. Each team has a tag: the service it received,
 * divided by its weight, plus the estimated cost of what it was promised and has not
 * finished. The backlogged team with the lowest tag is served next, so the tags of
 * backlogged teams stay within about one request of each other.
 *
 * Confirmed service and estimates are kept apart, since a team whose backlog begins must
 * not be set back by estimates of others that are later corrected.
 *
 * Source: P. Goyal, H. Vin, H. Cheng, "Start-time Fair Queueing", 1996.
 */
export class FairShares {
	/** Normalised confirmed service by team, in cost units per unit of weight. */
	readonly #confirmed = new Map<string, number>();
	/** Normalised estimated cost of unfinished requests by team. */
	readonly #pending = new Map<string, number>();
	readonly #weightOf: (team: string) => number;
	/** Where teams without an entry begin. */
	#initialConfirmed = 0;

	/** `weightOf` gives a team's weight, above zero. */
	constructor(weightOf: (team: string) => number) {
		this.#weightOf = weightOf;
	}

	/** Normalised service with what is promised, in cost units per unit of weight. */
	tagOf(team: string): number {
		return this.confirmedOf(team) + (this.#pending.get(team) ?? 0);
	}

	/** Normalised service of finished requests. */
	confirmedOf(team: string): number {
		return this.#confirmed.get(team) ?? this.#initialConfirmed;
	}

	/**
	 * Called when a team's backlog begins. Service it did not ask for earlier is not
	 * owed to it: it begins level with the team of `backlogged` that is furthest behind.
	 */
	startBacklog(team: string, backlogged: Iterable<string>): void {
		const level = this.#lowestConfirmed(team, backlogged);
		this.#confirmed.set(team, Math.max(this.confirmedOf(team), level));
	}

	/** The team with the lowest tag, or undefined when there is none. Ties go to the first. */
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

	/** Changes the estimated cost of a team's unfinished requests by `cost` units. */
	addPending(team: string, cost: number): void {
		this.#pending.set(team, (this.#pending.get(team) ?? 0) + (cost / this.#weightOf(team)));
	}

	/** Adds the true cost of finished requests. */
	addConfirmed(team: string, cost: number): void {
		this.#confirmed.set(team, this.confirmedOf(team) + (cost / this.#weightOf(team)));
	}

	/**
	 * Adds cost as `confirm` does, but the team ends at most `clamp` cost units beyond
	 * the backlogged team that is furthest behind.
	 */
	addConfirmedBounded(team: string, cost: number, maxLead: number, backlogged: Iterable<string>): void {
		const weight = this.#weightOf(team);
		const before = this.confirmedOf(team);
		const ceiling = Math.max(before, this.#lowestConfirmed(team, backlogged) + (maxLead / weight));
		this.#confirmed.set(team, Math.min(before + (cost / weight), ceiling));
	}

	/** Forgets differences between teams after a time in which nobody waited. */
	endBusyPeriod(): void {
		for (const confirmed of this.#confirmed.values()) {
			this.#initialConfirmed = Math.max(this.#initialConfirmed, confirmed);
		}

		this.#confirmed.clear();
	}

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
