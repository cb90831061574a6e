/**
 * Joins refusals of one reason and team to one log line a second. Handles a flood: a line
 * for each of several hundred refusals a second would cost more than the refusals.
 */

/** Milliseconds that one line covers. */
const SUMMARY_MS = 1000;
/** Request ids that a line names, as examples. */
const MAX_IDS = 5;

export type RefusalLine = {
	readonly reason: string;
	readonly team: string;
	readonly count: number;
	/** Milliseconds from the first refusal to the line. */
	readonly overMs: number;
	readonly requestIds: readonly string[];
};

type Sum = {readonly reason: string; readonly team: string; readonly firstMs: number; count: number; readonly requestIds: string[]};

export type RefusalSummary = {
	readonly add: (refusal: {readonly reason: string; readonly team: string; readonly requestId: string}, nowMs: number) => void;
	/** Lines whose second is over. */
	readonly takeDue: (nowMs: number) => readonly RefusalLine[];
	/** All lines, for the end of the process. */
	readonly takeAll: (nowMs: number) => readonly RefusalLine[];
};

export const createRefusalSummary = (): RefusalSummary => {
	const sums = new Map<string, Sum>();
	const take = (isDue: (sum: Sum) => boolean, nowMs: number): readonly RefusalLine[] => [...sums].flatMap(([key, sum]) => {
		if (!isDue(sum)) {
			return [];
		}

		sums.delete(key);
		const {reason, team, count, requestIds, firstMs} = sum;
		return [{
			reason, team, count, overMs: nowMs - firstMs, requestIds,
		}];
	});

	return {
		add({reason, team, requestId}, nowMs) {
			const key = `${reason} ${team}`;
			const sum = sums.get(key) ?? {
				reason, team, firstMs: nowMs, count: 0, requestIds: [],
			};
			sums.set(key, sum);
			sum.count++;
			if (sum.requestIds.length < MAX_IDS) {
				sum.requestIds.push(requestId);
			}
		},
		takeDue: nowMs => take(({firstMs}) => nowMs - firstMs >= SUMMARY_MS, nowMs),
		takeAll: nowMs => take(() => true, nowMs),
	};
};
