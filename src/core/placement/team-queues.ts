/** Holds the queued requests of one tier. A lane holds those of one team, priority and kind, in dispatch order. */
import {type PlacementRequest} from './types.js';

/** Priority of requests for which the configuration names none. A lower number is more urgent. */
export const DEFAULT_PRIORITY = 1;

export const priorityOf = ({priority = DEFAULT_PRIORITY}: Pick<PlacementRequest, 'priority'>): number => priority;

export type QueuedRequest = {
	readonly request: PlacementRequest;
	/** Cost of the work that the request causes at a target. */
	readonly cost: number;
	/** Monotonic time that orders the requests of a team. The request with the earliest time is dispatched first. */
	readonly orderMs: number;
};

export type Lane = {
	readonly team: string;
	readonly priority: number;
	/** Name of the requests' route; empty if unknown. */
	readonly kind: string;
	readonly waiting: readonly QueuedRequest[];
	/** Total cost of the lane's requests. */
	readonly cost: number;
};

type MutableLane = {-readonly [Key in keyof Lane]: Lane[Key]} & {readonly waiting: QueuedRequest[]};

const laneKey = ({team, kind = '', ...request}: PlacementRequest): string => `${priorityOf(request)}|${kind}|${team}`;

/** Returns the index of the first request that is ordered after `orderMs`. */
const insertionIndex = (waiting: readonly QueuedRequest[], orderMs: number): number => {
	let low = 0;
	let high = waiting.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if (waiting[middle]!.orderMs > orderMs) {
			high = middle;
		} else {
			low = middle + 1;
		}
	}

	return low;
};

export class TeamQueues {
	readonly #lanes = new Map<string, MutableLane>();
	readonly #byId = new Map<string, QueuedRequest>();

	get isEmpty(): boolean {
		return this.#byId.size === 0;
	}

	/** Number of queued requests. */
	get size(): number {
		return this.#byId.size;
	}

	lanes(): Iterable<Lane> {
		return this.#lanes.values();
	}

	add(added: QueuedRequest): void {
		const {request} = added;
		const key = laneKey(request);
		let lane = this.#lanes.get(key);
		if (!lane) {
			lane = {
				team: request.team, priority: priorityOf(request), kind: request.kind ?? '', waiting: [], cost: 0,
			};
			this.#lanes.set(key, lane);
		}

		lane.waiting.splice(insertionIndex(lane.waiting, added.orderMs), 0, added);
		lane.cost += added.cost;
		this.#byId.set(request.requestId, added);
	}

	/** Removes a request; returns false when the request is not in this tier. */
	remove(requestId: string): boolean {
		const removed = this.#byId.get(requestId);
		if (!removed) {
			return false;
		}

		const key = laneKey(removed.request);
		const lane = this.#lanes.get(key)!;
		this.#byId.delete(requestId);
		lane.waiting.splice(lane.waiting.indexOf(removed), 1);
		lane.cost -= removed.cost;
		if (lane.waiting.length === 0) {
			this.#lanes.delete(key);
		}

		return true;
	}

	/** Removes the requests that match, and returns them. */
	removeAll(matches: (request: PlacementRequest) => boolean): readonly QueuedRequest[] {
		const removed: QueuedRequest[] = [];
		for (const {waiting} of this.#lanes.values()) {
			for (const entry of waiting) {
				if (matches(entry.request)) {
					removed.push(entry);
				}
			}
		}

		for (const {request} of removed) {
			this.remove(request.requestId);
		}

		return removed;
	}
}
