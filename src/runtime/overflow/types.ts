/** What the router and its overflow thread tell each other. */

/** Given to the thread when it starts. */
export type OverflowData = {
	/** Descriptor of the listening socket. */
	readonly descriptor: number;
	/** One `Int32`: 1 while connections wait to be refused. The thread sleeps on it. */
	readonly signal: SharedArrayBuffer;
};

/** Told after each time that connections were refused. */
export type OverflowReport = {
	/** Ids of the requests that were refused. */
	readonly requestIds: readonly string[];
};
