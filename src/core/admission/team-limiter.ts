/**
 * Limits the open and the queued requests of each team at one VM, so that a flood of one
 * team cannot use up the capacity for the others.
 */
import {RefusalError} from '../errors/refusal-error.js';
import {QueueFull, TooManyRequests} from '../errors/refusals-data.js';
import {countDeparture, retryAfterMs, type DrainRate} from './drain-rate.js';

/** Requests of one team, and the rates at which they end and leave the queue. */
type TeamLoad = {
	open: number;
	queued: number;
	closeRate: DrainRate | undefined;
	dequeueRate: DrainRate | undefined;
};

export type TeamLimiter = {
	/** Counts one open request of the team, or throws `TooManyRequests` at the limit. */
	readonly open: (team: string, limit: number, nowMs: number) => void;
	/** Removes one open request of the team. */
	readonly close: (team: string, nowMs: number) => void;
	/** Counts one queued request of the team, or throws `QueueFull` at the limit. */
	readonly enqueue: (team: string, limit: number, nowMs: number) => void;
	/** Removes one queued request of the team. */
	readonly dequeue: (team: string, nowMs: number) => void;
	/** Counts a request that is queued again after an attempt, even above the limit. */
	readonly requeue: (team: string) => void;
	/** Returns the number of queued requests of the team. */
	readonly queued: (team: string) => number;
};

/** Creates a limiter without requests. */
export const createTeamLimiter = (): TeamLimiter => {
	const loads = new Map<string, TeamLoad>();
	const loadOf = (team: string): TeamLoad => {
		const load = loads.get(team) ?? {
			open: 0, queued: 0, closeRate: undefined, dequeueRate: undefined,
		};
		loads.set(team, load);
		return load;
	};

	return {
		open(team, limit, nowMs) {
			const load = loadOf(team);
			if (load.open >= limit) {
				throw new RefusalError(TooManyRequests, {limit}, {retryAfterMs: retryAfterMs(load.closeRate, load.open, nowMs)});
			}

			load.open++;
		},
		close(team, nowMs) {
			const load = loadOf(team);
			load.open--;
			load.closeRate = countDeparture(load.closeRate, nowMs);
		},
		enqueue(team, limit, nowMs) {
			const load = loadOf(team);
			if (load.queued >= limit) {
				throw new RefusalError(QueueFull, {limit}, {retryAfterMs: retryAfterMs(load.dequeueRate, load.queued, nowMs)});
			}

			load.queued++;
		},
		dequeue(team, nowMs) {
			const load = loadOf(team);
			load.queued--;
			load.dequeueRate = countDeparture(load.dequeueRate, nowMs);
		},
		requeue(team) {
			loadOf(team).queued++;
		},
		queued: team => loads.get(team)?.queued ?? 0,
	};
};
