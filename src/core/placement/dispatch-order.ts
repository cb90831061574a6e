/**
 * Decides in which order a dispatch round attempts the queued requests of one tier. The most
 * urgent priority comes first, within a priority the team with the least usage, and within a
 * team the request with the earliest order time.
 *
 * Load pattern: large prompts that no target has capacity for are queued beside small ones. A
 * request that does not start is skipped until the next round. After a few such requests of a
 * team, only clearly smaller requests of that team are attempted. So large prompts don't block
 * small ones, and a round stays short.
 */
import {type Lane, type QueuedRequest} from './team-queues.js';

/** Failed attempts of one team in a dispatch round after which only clearly smaller requests of the team are attempted. */
const LOOK_AHEAD_REQUESTS = 4;
/** Largest cost of a request that is attempted after those failures, as a share of the least cost that failed. A more expensive request would hardly fit either. */
const SMALLER_COST_SHARE = 0.5;

export type DispatchTerms = {
	readonly priorityOf: (lane: Lane) => number;
	/** Returns the recent usage of a team. */
	readonly usageOf: (team: string) => number;
	/** Usage above which this VM starts no more requests of a team, so that teams at other VMs have precedence. */
	readonly usageCeiling: number;
	/** Whether smaller requests of a team are attempted after `LOOK_AHEAD_REQUESTS` failed attempts. */
	readonly triesSmaller: boolean;
	/** Whether a request must not be attempted now. A paused request does not count as a failed attempt. */
	readonly isPaused: (queued: QueuedRequest) => boolean;
	/** Starts a request; returns false when no target accepts it. */
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
		// The array is copied, since started requests are removed from the lane during the round.
		this.#cursors.push({waiting: [...waiting], index: 0});
	}

	/** Starts the next request that a target accepts; returns false when there is none. */
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
