/**
 * Records which prompt parts were in requests that were answered. The record of each team is
 * bounded by itself, so that a team that makes up parts displaces only its own.
 */

/** Teams whose parts are recorded; the one that was answered least recently is displaced. */
const MAX_TEAMS = 64;
/** Parts recorded for each team. */
const MAX_PARTS_PER_TEAM = 512;

/** Removes the oldest entries of a map in insertion order until it has at most `size`. */
const trim = (map: Map<string, unknown>, size: number): void => {
	for (const key of map.keys()) {
		if (map.size <= size) {
			return;
		}

		map.delete(key);
	}
};

const touch = <Value>(map: Map<string, Value>, key: string, value: Value): void => {
	map.delete(key);
	map.set(key, value);
};

export class SoundParts {
	readonly #teams = new Map<string, Map<string, number>>();

	note(team: string, parts: readonly string[], nowMs: number): void {
		const times = this.#teams.get(team) ?? new Map<string, number>();
		touch(this.#teams, team, times);
		for (const part of parts) {
			touch(times, part, nowMs);
		}

		trim(times, MAX_PARTS_PER_TEAM);
		trim(this.#teams, MAX_TEAMS);
	}

	/** Returns when a request with the part was last answered, for whichever team; undefined if none is recorded. */
	lastMs(part: string): number | undefined {
		let lastMs: number | undefined;
		for (const times of this.#teams.values()) {
			const ms = times.get(part);
			if (ms !== undefined) {
				lastMs = Math.max(lastMs ?? ms, ms);
			}
		}

		return lastMs;
	}
}
