/**
 * The order in which the waiting asks of one tier are offered to the targets: by priority,
 * then the team that received least, then the order within the team.
 *
 * Load pattern: prompts that take much and fit nowhere wait beside small ones. An ask that
 * does not start is passed over for this round; after a few of them only clearly smaller asks
 * of the team are tried, so that none is held up and a round stays short.
 */
import {type Lane, type QueuedRequest} from './team-queues.js';

/** Asks of one team that are tried in a round whatever they take. */
const LOOK_AHEAD_REQUESTS = 4;
/** Part of the least cost that did not start above which an ask of the team is not tried after them; it would fit no better. */
const SMALLER_COST_SHARE = 0.5;

export type DispatchTerms = {
	readonly priorityOf: (lane: Lane) => number;
	/** What a team received. */
	readonly usageOf: (team: string) => number;
	/** Use beyond which a team lets others go first. */
	readonly usageCeiling: number;
	/** Whether smaller asks are tried after the look-ahead. */
	readonly triesSmaller: boolean;
	/** Whether an ask may not be tried now; it does not count as tried. */
	readonly isPaused: (queued: QueuedRequest) => boolean;
	/** Starts an ask; false when no target takes it. */
	readonly tryStart: (queued: QueuedRequest) => boolean;
};

type Cursor = {readonly waiting: readonly QueuedRequest[]; index: number};

/** What is left of one team in a round. */
class TeamRound {
	usage: number;
	readonly #cursors: Cursor[] = [];
	#failedAttempts = 0;
	#leastFailedCost = Infinity;

	constructor(usage: number) {
		this.usage = usage;
	}

	add({waiting}: Lane): void {
		// A copy, since asks leave the lane when they start.
		this.#cursors.push({waiting: [...waiting], index: 0});
	}

	/** Starts the first ask that can. */
	startNext({triesSmaller, isPaused, tryStart}: DispatchTerms): boolean {
		for (let request = this.#nextRequest(); request; request = this.#nextRequest()) {
			const isBeyondLookAhead = this.#failedAttempts >= LOOK_AHEAD_REQUESTS;
			if (isBeyondLookAhead && !triesSmaller) {
				return false;
			}

			if (isPaused(request) || (isBeyondLookAhead && request.cost > this.#leastFailedCost * SMALLER_COST_SHARE)) {
				continue;
			}

			if (tryStart(request)) {
				this.usage += request.cost;
				return true;
			}

			this.#failedAttempts++;
			this.#leastFailedCost = Math.min(this.#leastFailedCost, request.cost);
		}

		return false;
	}

	#nextRequest(): QueuedRequest | undefined {
		let first: Cursor | undefined;
		for (const cursor of this.#cursors) {
			const head = cursor.waiting[cursor.index];
			if (head && (!first || head.orderMs < first.waiting[first.index]!.orderMs)) {
				first = cursor;
			}
		}

		return first?.waiting[first.index++];
	}
}

const leastServedTeam = (teams: ReadonlyMap<string, TeamRound>): readonly [string, TeamRound] => {
	let [least] = teams;
	for (const entry of teams) {
		if (!least || entry[1].usage < least[1].usage) {
			least = entry;
		}
	}

	return least!;
};

/** Offers every ask at most once. */
export const startInOrder = (lanes: Iterable<Lane>, terms: DispatchTerms): void => {
	const levels = new Map<number, Map<string, TeamRound>>();
	for (const lane of lanes) {
		const priority = terms.priorityOf(lane);
		const teams = levels.get(priority) ?? new Map<string, TeamRound>();
		levels.set(priority, teams);
		const teamRound = teams.get(lane.team) ?? new TeamRound(terms.usageOf(lane.team));
		teams.set(lane.team, teamRound);
		teamRound.add(lane);
	}

	for (const [, teams] of [...levels].toSorted(([a], [b]) => a - b)) {
		while (teams.size > 0) {
			const [team, teamRound] = leastServedTeam(teams);
			if (teamRound.usage > terms.usageCeiling || !teamRound.startNext(terms)) {
				teams.delete(team);
			}
		}
	}
};
