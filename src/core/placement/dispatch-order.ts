/**
 * The order in which the waiting asks of one tier are offered to the targets: by priority,
 * then the team that received least, then the order within the team.
 *
 * Load pattern: prompts that take much and fit nowhere wait beside small ones. An ask that
 * does not start is passed over for this round; after a few of them only clearly smaller asks
 * of the team are tried, so that none is held up and a round stays short.
 */
import {type Lane, type WaitingAsk} from './team-queues.js';

/** Asks of one team that are tried in a round whatever they take. */
const LOOK_AHEAD = 4;
/** Part of the least cost that did not start above which an ask of the team is not tried after them; it would fit no better. */
const SMALLER_SHARE = 0.5;

export type DispatchTerms = {
	readonly priorityOf: (lane: Lane) => number;
	/** What a team received. */
	readonly useOf: (team: string) => number;
	/** Use beyond which a team lets others go first. */
	readonly useCeiling: number;
	/** Whether smaller asks are tried after the look-ahead. */
	readonly looksBeyond: boolean;
	/** Whether an ask may not be tried now; it does not count as tried. */
	readonly isPaused: (waiting: WaitingAsk) => boolean;
	/** Starts an ask; false when no target takes it. */
	readonly tryStart: (waiting: WaitingAsk) => boolean;
};

type Cursor = {readonly waiting: readonly WaitingAsk[]; index: number};

/** What is left of one team in a round. */
class TeamTurn {
	use: number;
	readonly #cursors: Cursor[] = [];
	#tried = 0;
	#leastFailedCost = Infinity;

	constructor(use: number) {
		this.use = use;
	}

	add({waiting}: Lane): void {
		// A copy, since asks leave the lane when they start.
		this.#cursors.push({waiting: [...waiting], index: 0});
	}

	/** Starts the first ask that can. */
	startOne({looksBeyond, isPaused, tryStart}: DispatchTerms): boolean {
		for (let next = this.#take(); next; next = this.#take()) {
			const isBeyond = this.#tried >= LOOK_AHEAD;
			if (isBeyond && !looksBeyond) {
				return false;
			}

			if (isPaused(next) || (isBeyond && next.cost > this.#leastFailedCost * SMALLER_SHARE)) {
				continue;
			}

			if (tryStart(next)) {
				this.use += next.cost;
				return true;
			}

			this.#tried++;
			this.#leastFailedCost = Math.min(this.#leastFailedCost, next.cost);
		}

		return false;
	}

	#take(): WaitingAsk | undefined {
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

const leastUsed = (teams: ReadonlyMap<string, TeamTurn>): readonly [string, TeamTurn] => {
	let [least] = teams;
	for (const entry of teams) {
		if (!least || entry[1].use < least[1].use) {
			least = entry;
		}
	}

	return least!;
};

/** Offers every ask at most once. */
export const startInOrder = (lanes: Iterable<Lane>, terms: DispatchTerms): void => {
	const levels = new Map<number, Map<string, TeamTurn>>();
	for (const lane of lanes) {
		const priority = terms.priorityOf(lane);
		const teams = levels.get(priority) ?? new Map<string, TeamTurn>();
		levels.set(priority, teams);
		const turn = teams.get(lane.team) ?? new TeamTurn(terms.useOf(lane.team));
		teams.set(lane.team, turn);
		turn.add(lane);
	}

	for (const [, teams] of [...levels].toSorted(([a], [b]) => a - b)) {
		while (teams.size > 0) {
			const [team, turn] = leastUsed(teams);
			if (turn.use > terms.useCeiling || !turn.startOne(terms)) {
				teams.delete(team);
			}
		}
	}
};
