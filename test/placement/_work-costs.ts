/**
 * Processor time of the steps of a request, of standing work and of cold code, for virtual fleets
 * (`_charged-fleet.ts`). Update the figures from a measurement of the code that they describe.
 */

/** A step of a request, which costs processor time at the VM where it happens. */
export type Step =
	/** Accept or read, find the route, authenticate, admit. */
	| 'read'
	/** Choose a target or queue the request, with its log line. */
	| 'place'
	/** Send a reservation message. */
	| 'tell'
	/** Receive a reservation message and answer it. */
	| 'receive'
	/** Write the request to its target. */
	| 'send'
	/** Read and pass on what a target has sent of one response. */
	| 'relay'
	/** End a response, with its log lines and metrics. */
	| 'end'
	/** Refuse a request that was read. */
	| 'refuse'
	/** Refuse a request from its head. */
	| 'shed'
	/** Notice that a caller has left. */
	| 'leave';

export type WorkCosts = {
	/** Milliseconds of processor time of each step once its code is compiled. */
	readonly warmMs: Readonly<Record<Step, number>>;
	/** Milliseconds of each event after the first that a `relay` step passes on when several are read at once. */
	readonly eventMs: number;
	/** Cost of the first run of a step in a process, as a multiple of the warm cost. */
	readonly coldFactor: number;
	/** Number of runs of a step after which half of what exceeds the warm cost is left. */
	readonly coldRuns: number;
	/** Milliseconds of processor time a second without requests. */
	readonly standingMsPerS: number;
};

/** No work costs processor time. */
export const FREE: WorkCosts = {
	warmMs: {
		read: 0, place: 0, tell: 0, receive: 0, send: 0, relay: 0, end: 0, refuse: 0, shed: 0, leave: 0,
	},
	eventMs: 0, coldFactor: 1, coldRuns: 1, standingMsPerS: 0,
};

/**
 * Costs of the router as measured in plays of issue 57 at a reduced scale: least squares over the
 * `processor` lines of 17 VMs, by requests since the start, reads, datagrams and time. The split
 * of a request into its steps is estimated; their sums are measured.
 */
export const MEASURED: WorkCosts = {
	warmMs: {
		read: 0.3, place: 0.25, tell: 0.5, receive: 0.9, send: 0.2, relay: 0.085, end: 0.2, refuse: 0.25, shed: 0.25, leave: 0.15,
	},
	eventMs: 0.02, coldFactor: 11, coldRuns: 10, standingMsPerS: 25,
};

/** Returns costs with each step of a request a factor as expensive. */
export const scaleSteps = ({warmMs, eventMs, ...costs}: WorkCosts, factor: number): WorkCosts => ({
	...costs,
	eventMs: eventMs * factor,
	warmMs: {
		read: warmMs.read * factor,
		place: warmMs.place * factor,
		tell: warmMs.tell * factor,
		receive: warmMs.receive * factor,
		send: warmMs.send * factor,
		relay: warmMs.relay * factor,
		end: warmMs.end * factor,
		refuse: warmMs.refuse * factor,
		shed: warmMs.shed * factor,
		leave: warmMs.leave * factor,
	},
});
