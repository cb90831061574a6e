/**
 * What each team received lately: the cost of its requests, counting less with age. The
 * team with the least use is served first, so that teams which ask for more than an even
 * share all receive the same, over spans of a few seconds.
 */

/** Milliseconds after which a request's cost counts 1/e. */
export const DECAY_MS = 3000;

type Use = {readonly cost: number; readonly atMs: number};

export const decayUse = (cost: number, ageMs: number): number => cost * Math.exp(-Math.max(0, ageMs) / DECAY_MS);

export type DecayingSums = {
	readonly of: (team: string, nowMs: number) => number;
	readonly add: (team: string, cost: number, nowMs: number) => void;
	/** Teams that received anything that still counts. */
	readonly teams: (nowMs: number) => readonly string[];
};

export const createDecayingSums = (): DecayingSums => {
	const uses = new Map<string, Use>();
	const of = (team: string, nowMs: number): number => {
		const use = uses.get(team);
		return use ? decayUse(use.cost, nowMs - use.atMs) : 0;
	};

	return {
		of,
		add(team, cost, nowMs) {
			uses.set(team, {cost: of(team, nowMs) + cost, atMs: nowMs});
		},
		teams(nowMs) {
			for (const [team] of uses) {
				if (of(team, nowMs) < 1) {
					uses.delete(team);
				}
			}

			return [...uses.keys()];
		},
	};
};
