/**
 * Limits on what one team may hold at one VM, so that a flood of one team cannot take
 * the room of the others.
 */
import {RefusalError} from '../errors/refusal-error.js';
import {QueueFull, TooManyRequests} from '../errors/refusals-data.js';
import {countDeparture, retryAfterMs, type DrainRate} from './drain-rate.js';

/** What one team holds. */
type TeamLoad = {
	open: number;
	queued: number;
	closeRate: DrainRate | undefined;
	dequeueRate: DrainRate | undefined;
};

export type TeamLimiter = {
	/** Takes one place among the team's open requests, or throws `TooManyRequests`. */
	readonly open: (team: string, limit: number, nowMs: number) => void;
	readonly close: (team: string, nowMs: number) => void;
	/** Takes one place among the team's waiting requests, or throws `QueueFull`. */
	readonly enqueue: (team: string, limit: number, nowMs: number) => void;
	readonly dequeue: (team: string, nowMs: number) => void;
	/** Counts a request that waits again after a try, beyond the limit if need be. */
	readonly requeue: (team: string) => void;
	readonly queued: (team: string) => number;
};

/** A gate with no requests. */
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
