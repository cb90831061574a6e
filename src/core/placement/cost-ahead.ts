/**
 * Cost of the queued requests that are dispatched before a given one: all more urgent requests,
 * those of its own team that precede it, and of each other team as much as it takes until both
 * teams have the same usage.
 */
import {type Lane} from './team-queues.js';

export type QueuePlace = {
	readonly team: string;
	readonly priority: number;
	/** Cost of the requests of the same team and priority that precede it. */
	readonly ownCost: number;
};

export const costAhead = ({team, priority, ownCost}: QueuePlace, lanes: Iterable<Lane>, usageOf: (team: string) => number): number => {
	let ahead = ownCost;
	const usageAtDispatch = usageOf(team) + ownCost;
	const others = new Map<string, number>();
	for (const lane of lanes) {
		if (lane.priority < priority) {
			ahead += lane.cost;
		} else if (lane.priority === priority && lane.team !== team) {
			others.set(lane.team, (others.get(lane.team) ?? 0) + lane.cost);
		}
	}

	for (const [other, cost] of others) {
		ahead += Math.min(cost, Math.max(0, usageAtDispatch - usageOf(other)));
	}

	return ahead;
};
