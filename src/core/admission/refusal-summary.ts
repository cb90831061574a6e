/**
 * Joins refusals of one reason and team to one log line a second. Handles a flood: a line
 * for each of several hundred refusals a second would cost more than the refusals.
 */

/** Milliseconds that one line covers. */
const SUMMARY_INTERVAL_MS = 1000;
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

type RefusalGroup = {readonly reason: string; readonly team: string; readonly firstMs: number; count: number; readonly requestIds: string[]};

export type RefusalSummary = {
	readonly add: (refusal: {readonly reason: string; readonly team: string; readonly requestId: string}, nowMs: number) => void;
	/** Lines whose second is over. */
	readonly takeDue: (nowMs: number) => readonly RefusalLine[];
	/** All lines, for the end of the process. */
	readonly takeAll: (nowMs: number) => readonly RefusalLine[];
};

export const createRefusalSummary = (): RefusalSummary => {
	const groups = new Map<string, RefusalGroup>();
	const take = (isDue: (group: RefusalGroup) => boolean, nowMs: number): readonly RefusalLine[] => [...groups].flatMap(([key, group]) => {
		if (!isDue(group)) {
			return [];
		}

		groups.delete(key);
		const {reason, team, count, requestIds, firstMs} = group;
		return [{
			reason, team, count, overMs: nowMs - firstMs, requestIds,
		}];
	});

	return {
		add({reason, team, requestId}, nowMs) {
			const key = `${reason} ${team}`;
			const group = groups.get(key) ?? {
				reason, team, firstMs: nowMs, count: 0, requestIds: [],
			};
			groups.set(key, group);
			group.count++;
			if (group.requestIds.length < MAX_IDS) {
				group.requestIds.push(requestId);
			}
		},
		takeDue: nowMs => take(({firstMs}) => nowMs - firstMs >= SUMMARY_INTERVAL_MS, nowMs),
		takeAll: nowMs => take(() => true, nowMs),
	};
};
