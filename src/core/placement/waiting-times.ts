/**
 * How long a request may wait for a target. It is in the first tier while its response can
 * still be in time, and in the second tier for as long as its caller stays after that.
 */
import {type PlacementRequest} from './types.js';

/** Part of the target latency for which a request is in the first tier; a prompt still has to be read after it. */
const IN_TIME_SHARE = 0.6;
/**
 * Parts for a prompt for which room is reserved: until then it may start, with the time that
 * its own reading takes, and it is in the first tier for the least part in any case.
 */
const RESERVED_FIRST_TOKEN_SHARE = 0.75;
const RESERVED_MIN_IN_TIME_SHARE = 0.3;
/** Least part for a plain request of a large fleet, whose targets may take longer than the target latency. */
const PLAIN_MIN_IN_TIME_SHARE = 0.1;
/** The same for a request whose caller has part of the answer: the rest is late already, and callers wait longer in mid-answer. */
const RESUMED_IN_TIME_SHARE = 2;
/** Milliseconds kept for the way of the first part: timers of a loaded VM come up to 26 ms late, twice on the way, and callers' clocks begin earlier. */
const DELIVERY_MARGIN_MS = 100;

/** Part of the target latency for which a prompt is in the first tier in a large fleet, by the time that its own reading takes. */
export const reservedInTimeShare = (prefillMs: number, {targetLatencyMs}: Pick<PlacementRequest, 'targetLatencyMs'>): number =>
	Math.max(RESERVED_MIN_IN_TIME_SHARE, RESERVED_FIRST_TOKEN_SHARE - (prefillMs / targetLatencyMs));

/** Part of the target latency for which a plain request is in the first tier in a large fleet, by the time within which nearly all answers come. */
export const plainInTimeShare = (responseMs: number, {targetLatencyMs}: Pick<PlacementRequest, 'targetLatencyMs'>): number =>
	Math.min(IN_TIME_SHARE, Math.max(PLAIN_MIN_IN_TIME_SHARE, 1 - (responseMs / targetLatencyMs)));

/** Reading of the clock from which a request that waits is not in time any more. `share` is that of the target latency for a request that has not begun. */
export const inTimeEndMs = ({deadlineMs, arrivedMs, targetLatencyMs, isResumed}: PlacementRequest, share = IN_TIME_SHARE): number =>
	Math.min(deadlineMs, arrivedMs + (targetLatencyMs * (isResumed ? RESUMED_IN_TIME_SHARE : share)));

/** Reading of the clock from which a request that is sent on would reach no caller any more, with `startMs` until its first part. */
export const latestStartMs = ({deadlineMs, callerLeavesMs = Infinity}: PlacementRequest, firstChunkMs: number): number =>
	Math.min(deadlineMs, callerLeavesMs) - firstChunkMs - DELIVERY_MARGIN_MS;
