/**
 * Order in which the queued requests of one tier are offered to the targets: by priority, then
 * the team with the least usage, then the order within the team.
 *
 * Load pattern: large prompts that no target has capacity for are queued beside small ones. A
 * request that does not start is skipped for the round. After a few of them, only clearly
 * smaller requests of the team are attempted, so that large prompts don't block small ones and
 * a round stays short.
 */
import {type Lane, type QueuedRequest} from './team-queues.js';

/** Failed attempts of one team in a round after which the cost of a request decides whether it is attempted. */
const LOOK_AHEAD_REQUESTS = 4;
/** Share of the least cost that failed to start. After the look-ahead, a request of the team that costs more is not attempted, since it would hardly fit. */
const SMALLER_COST_SHARE = 0.5;

export type DispatchTerms = {
	readonly priorityOf: (lane: Lane) => number;
	/** Returns the recent usage of a team. */
	readonly usageOf: (team: string) => number;
	/** Usage beyond which a team is not dispatched, so that teams at other VMs go first. */
	readonly usageCeiling: number;
	/** Whether smaller requests are attempted after the look-ahead. */
	readonly triesSmaller: boolean;
	/** Whether a request may not be attempted now; it does not count as a failed attempt. */
	readonly isPaused: (queued: QueuedRequest) => boolean;
	/** Starts a request; false when no target accepts it. */
	readonly tryStart: (queued: QueuedRequest) => boolean;
};

type Cursor = {readonly waiting: readonly QueuedRequest[]; index: number};

/** Requests of one team that are still to be attempted in a dispatch round. */
class TeamRound {
	usage: number;
	readonly #cursors: Cursor[] = [];
	#failedAttempts = 0;
	#leastFailedCost = Infinity;

	constructor(usage: number) {
		this.usage = usage;
	}

	add({waiting}: Lane): void {
		// A copy, since started requests are removed from the lane.
		this.#cursors.push({waiting: [...waiting], index: 0});
	}

	/** Starts the first request that a target accepts; false when there is none. */
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

/** Attempts to start the requests of all lanes, each at most once. */
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
