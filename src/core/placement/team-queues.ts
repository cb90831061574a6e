/** Asks that wait, by team, in the order of their latency targets. */
import {type PlacedAsk} from './types.js';

const latencyTargetOf = ({arrivedMs, targetLatencyMs}: PlacedAsk): number => arrivedMs + targetLatencyMs;

export class TeamQueues {
	readonly #queues = new Map<string, PlacedAsk[]>();

	get isEmpty(): boolean {
		return this.#queues.size === 0;
	}

	/** Asks that wait. */
	get size(): number {
		let size = 0;
		for (const queue of this.#queues.values()) {
			size += queue.length;
		}

		return size;
	}

	teams(): Iterable<string> {
		return this.#queues.keys();
	}

	of(team: string): readonly PlacedAsk[] {
		return this.#queues.get(team) ?? [];
	}

	add(ask: PlacedAsk): void {
		const queue = this.#queues.get(ask.team);
		if (!queue) {
			this.#queues.set(ask.team, [ask]);
			return;
		}

		const index = queue.findIndex(other => latencyTargetOf(other) > latencyTargetOf(ask));
		queue.splice(index === -1 ? queue.length : index, 0, ask);
	}

	/** Takes out the asks that `isMeant` names. */
	remove(isMeant: (ask: PlacedAsk) => boolean): readonly PlacedAsk[] {
		return [...this.#queues.keys()].flatMap(team => this.removeOf(team, isMeant));
	}

	removeOf(team: string, isMeant: (ask: PlacedAsk) => boolean): readonly PlacedAsk[] {
		const queue = this.#queues.get(team) ?? [];
		const removed = queue.filter(ask => isMeant(ask));
		if (removed.length === queue.length) {
			this.#queues.delete(team);
		} else if (removed.length > 0) {
			this.#queues.set(team, queue.filter(ask => !removed.includes(ask)));
		}

		return removed;
	}
}
