/**
 * Records which request ids were recently sent to which targets. A late duplicate of a
 * response cannot be distinguished from the response to a later request with the same id, so
 * the later request uses another connection.
 */

/** Least number of sends that are remembered, about 10 s of a busy VM. At most twice as many are remembered. */
const MIN_REMEMBERED = 4096;

export type RecentSends = {
	/** Records a send and returns whether the same id was recently sent to the same address. */
	readonly record: (requestId: string, address: string) => boolean;
};

/** @param remembered - Least number of sends that are remembered. */
export const createRecentSends = (remembered = MIN_REMEMBERED): RecentSends => {
	let recent = new Set<string>();
	let older = new Set<string>();
	return {
		record(requestId, address) {
			const key = `${address}|${requestId}`;
			const isKnown = recent.has(key) || older.has(key);
			recent.add(key);
			if (recent.size >= remembered) {
				older = recent;
				recent = new Set();
			}

			return isKnown;
		},
	};
};
