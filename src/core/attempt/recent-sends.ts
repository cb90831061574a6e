/**
 * Remembers which ids were sent to which targets lately. A late duplicate of a response with
 * the same id can't be told from the response to a later request, so that one takes another
 * connection.
 */

/** Sends that are remembered at least, and twice as many at most: some 10 s of a busy VM. */
const MIN_REMEMBERED = 4096;

export type RecentSends = {
	/** Notes a send; whether the same id was sent to the same address before. */
	readonly record: (requestId: string, address: string) => boolean;
};

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
