/**
 * Computes the cost of the queued requests that are dispatched before a given request. It
 * includes all more urgent requests and the earlier requests of the same team. Of each other
 * team, it includes the cost that is dispatched until that team's usage reaches the usage that
 * the request's own team has by then.
 */
import {type Lane} from './team-queues.js';

export type QueuePlace = {
	readonly team: string;
	readonly priority: number;
	/** Cost of the requests of the same team and priority that are dispatched before this request. */
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
