/**
 * Combines the refusals of one reason and team in one second into one log line. With several
 * hundred refusals a second, one line for each would cost more CPU time than the refusals.
 */

/** Milliseconds that one log line covers. */
const SUMMARY_INTERVAL_MS = 1000;
/** Largest number of request ids in one log line. */
const MAX_IDS = 5;

/** Fields of one log line. */
export type RefusalLine = {
	readonly reason: string;
	readonly team: string;
	readonly count: number;
	/** Milliseconds from the first refusal to the log line. */
	readonly overMs: number;
	readonly requestIds: readonly string[];
};

type RefusalGroup = {readonly reason: string; readonly team: string; readonly firstMs: number; count: number; readonly requestIds: string[]};

export type RefusalSummary = {
	readonly add: (refusal: {readonly reason: string; readonly team: string; readonly requestId: string}, nowMs: number) => void;
	/** Removes and returns the lines whose second is over. */
	readonly takeDue: (nowMs: number) => readonly RefusalLine[];
	/** Removes and returns all lines, at the end of the process. */
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
