/**
 * Exponentially decayed sums by key. The usage of a team, for example, is the decayed sum of the
 * costs of its requests. The team with the least usage is served first, so that teams that
 * demand more than their fair share all receive the same over spans of a few seconds.
 */

/** Milliseconds after which an amount counts 1/e. */
export const DECAY_MS = 3000;

type DecayingSum = {readonly amount: number; readonly atMs: number};

export const decay = (amount: number, ageMs: number): number => amount * Math.exp(-Math.max(0, ageMs) / DECAY_MS);

export type DecayingSums = {
	readonly of: (key: string, nowMs: number) => number;
	readonly add: (key: string, amount: number, nowMs: number) => void;
	/** Returns the keys whose sums are at least 1, and drops the others. */
	readonly keys: (nowMs: number) => readonly string[];
};

export const createDecayingSums = (): DecayingSums => {
	const sums = new Map<string, DecayingSum>();
	const of = (key: string, nowMs: number): number => {
		const sum = sums.get(key);
		return sum ? decay(sum.amount, nowMs - sum.atMs) : 0;
	};

	return {
		of,
		add(key, amount, nowMs) {
			sums.set(key, {amount: of(key, nowMs) + amount, atMs: nowMs});
		},
		keys(nowMs) {
			for (const [key] of sums) {
				if (of(key, nowMs) < 1) {
					sums.delete(key);
				}
			}

			return [...sums.keys()];
		},
	};
};
