/**
 * Decides when a VM that is short of processor time begins to work on a request, and in which order.
 *
 * Load pattern: the balancer sends all callers of one team to one VM of 0.12 of a processor, for
 * seconds, several times as many as it can serve. The event loop reads new requests before it
 * continues old ones, so each of the ten or so turns that a request needs takes as long as the
 * new requests that were read in it: requests that had a place at a target were sent a second or
 * more later, after their place had expired or their caller had left.
 *
 * A new request is begun only while few others are being read or have a place and are not sent yet.
 * The rest waits, and each team gets an equal share of the starts. A request that would wait too
 * long is refused at its head.
 */
import {createDecayingSums} from '../placement/decaying-sums.js';

/** Most requests that are begun in one turn of the event loop, and most that are begun or placed and not sent. At 2 to 3 ms of processor time each, they fill a tenth of a second of 0.12 of a processor. */
const MAX_ACTIVE = 4;
/** Milliseconds for which a request that is not sent keeps others from being begun. A target that cannot be reached must not stop the VM. */
const MAX_ACTIVE_MS = 500;
/** Longest expected wait in milliseconds, and the wait after which a request is refused that the expectation was wrong for. Latency targets of streams start at a second. */
const MAX_EXPECTED_WAIT_MS = 600;
const MAX_WAIT_MS = 750;
/** Weight of the newest interval between two starts in their average. */
const INTERVAL_WEIGHT = 0.2;
/** Interval between two starts in milliseconds that is assumed at first: 5 ms of 0.12 of a processor. */
const INITIAL_INTERVAL_MS = 40;

/** Longest interval that counts. A process that was paused for a second is not slow afterwards. */
const MAX_INTERVAL_MS = 150;

/** A request that waits to be begun. */
export type WaitingRequest = {
	readonly requestId: string;
	readonly team: string;
	readonly sinceMs: number;
};

export type StartQueue<Request extends WaitingRequest> = {
	/** Returns whether a new request is begun now, waits, or is refused because its wait would be too long. */
	readonly offer: (request: Request, isShort: boolean) => 'begin' | 'wait' | 'refuse';
	/** Removes a request whose caller has disconnected. */
	readonly withdraw: (request: Request) => void;
	/** Records that a request needs processor time until it has been sent: it is being read, or has a place at a target. */
	readonly activate: (requestId: string, nowMs: number) => void;
	/** Records that a request waits for another VM or its target, or has ended. */
	readonly deactivate: (requestId: string) => void;
	/** Removes and returns the requests to begin in a new turn of the event loop, and those to refuse since they have waited too long. */
	readonly takeDue: (nowMs: number) => {readonly begin: readonly Request[]; readonly refuse: readonly Request[]};
	/** Number of waiting requests. */
	readonly waiting: () => number;
	/** Returns the milliseconds after which a new request of a team would be begun. */
	readonly expectedWaitMs: (team: string) => number;
};

/** Creates a queue without requests. */
export const createStartQueue = <Request extends WaitingRequest>(): StartQueue<Request> => {
	const queues = new Map<string, Request[]>();
	/** When each request became active. */
	const active = new Map<string, number>();
	const begun = createDecayingSums();
	let waiting = 0;
	let begunInTurn = 0;
	let intervalMs = INITIAL_INTERVAL_MS;
	let lastBeginMs: number | undefined;

	const begin = ({requestId, team}: Request, nowMs: number): void => {
		begunInTurn++;
		active.set(requestId, nowMs);
		begun.add(team, 1, nowMs);
		if (lastBeginMs !== undefined && waiting > 0) {
			intervalMs += (Math.min(MAX_INTERVAL_MS, nowMs - lastBeginMs) - intervalMs) * INTERVAL_WEIGHT;
		}

		lastBeginMs = nowMs;
	};

	const removeExpired = (nowMs: number): void => {
		for (const [requestId, sinceMs] of active) {
			if (nowMs - sinceMs > MAX_ACTIVE_MS) {
				active.delete(requestId);
			}
		}
	};

	const hasRoom = (): boolean => begunInTurn < MAX_ACTIVE && active.size < MAX_ACTIVE;

	/** Removes the oldest request of the team that had the fewest starts of late. */
	const takeNext = (nowMs: number): Request | undefined => {
		const [team] = [...queues.keys()].toSorted((a, b) => begun.of(a, nowMs) - begun.of(b, nowMs));
		const queue = team === undefined ? undefined : queues.get(team);
		const next = queue?.shift();
		if (team !== undefined && queue?.length === 0) {
			queues.delete(team);
		}

		waiting -= next ? 1 : 0;
		return next;
	};

	const expectedWaitMs = (team: string): number => {
		const ofTeam = (queues.get(team)?.length ?? 0) + 1;
		const teams = queues.size + (queues.has(team) ? 0 : 1);
		return Math.min(waiting + 1, ofTeam * teams) * intervalMs;
	};

	return {
		offer(request, isShort) {
			if (waiting === 0 && (!isShort || hasRoom())) {
				begin(request, request.sinceMs);
				return 'begin';
			}

			if (queues.has(request.team) && expectedWaitMs(request.team) > MAX_EXPECTED_WAIT_MS) {
				return 'refuse';
			}

			const queue = queues.get(request.team) ?? [];
			queue.push(request);
			queues.set(request.team, queue);
			waiting++;
			return 'wait';
		},
		withdraw(request) {
			const queue = queues.get(request.team);
			const index = queue?.indexOf(request) ?? -1;
			if (queue && index !== -1) {
				queue.splice(index, 1);
				waiting--;
				if (queue.length === 0) {
					queues.delete(request.team);
				}
			}
		},
		activate(requestId, nowMs) {
			active.set(requestId, nowMs);
		},
		deactivate(requestId) {
			active.delete(requestId);
		},
		takeDue(nowMs) {
			begunInTurn = 0;
			removeExpired(nowMs);
			const due: {begin: Request[]; refuse: Request[]} = {begin: [], refuse: []};
			while (hasRoom()) {
				const next = takeNext(nowMs);
				if (!next) {
					break;
				}

				if (nowMs - next.sinceMs > MAX_WAIT_MS) {
					due.refuse.push(next);
				} else {
					begin(next, nowMs);
					due.begin.push(next);
				}
			}

			return due;
		},
		waiting: () => waiting,
		expectedWaitMs,
	};
};
