/**
 * Limits on the time for which a request is queued. It stays in the first tier while its
 * response can still be in time, then in the second tier until its caller gives up.
 */
import {type PlacementRequest} from './types.js';

/** Share of the latency target for which a request stays in the first tier. The remaining time is needed for the prefill of a prompt. */
const IN_TIME_SHARE = 0.6;
/**
 * Shares of the latency target for a prompt that needs a reservation. The time in the first tier
 * and the prompt's own prefill together may take `RESERVED_FIRST_TOKEN_SHARE`. The prompt stays
 * in the first tier for at least `RESERVED_MIN_IN_TIME_SHARE`.
 */
const RESERVED_FIRST_TOKEN_SHARE = 0.75;
const RESERVED_MIN_IN_TIME_SHARE = 0.3;
/** Least share of the latency target for which a request to a service without a model engine stays in the first tier in a large fleet. Its targets may take longer than the latency target. */
const PLAIN_MIN_IN_TIME_SHARE = 0.1;
/** Share of the latency target for which a resumed request stays in the first tier. Its response is late already, and callers that have received some of a response wait longer. */
const RESUMED_IN_TIME_SHARE = 2;
/** Milliseconds reserved for the delivery of the first chunk. On its way, two timers of a loaded VM may each fire up to 26 ms late, and callers start their clocks before the request arrives. */
const DELIVERY_MARGIN_MS = 100;

/** Returns the share of the latency target for which a prompt that needs a reservation stays in the first tier in a large fleet. `prefillMs` is the time of the prompt's own prefill. */
export const reservedInTimeShare = (prefillMs: number, {targetLatencyMs}: Pick<PlacementRequest, 'targetLatencyMs'>): number =>
	Math.max(RESERVED_MIN_IN_TIME_SHARE, RESERVED_FIRST_TOKEN_SHARE - (prefillMs / targetLatencyMs));

/** Returns the share of the latency target for which a request to a service without a model engine stays in the first tier in a large fleet. `responseMs` is the time within which nearly all responses arrive. */
export const plainInTimeShare = (responseMs: number, {targetLatencyMs}: Pick<PlacementRequest, 'targetLatencyMs'>): number =>
	Math.min(IN_TIME_SHARE, Math.max(PLAIN_MIN_IN_TIME_SHARE, 1 - (responseMs / targetLatencyMs)));

/** Returns the monotonic time from which a queued request is late. `share` is the share of the latency target for a request that is not resumed. */
export const inTimeEndMs = ({deadlineMs, arrivedMs, targetLatencyMs, isResumed}: PlacementRequest, share = IN_TIME_SHARE): number =>
	Math.min(deadlineMs, arrivedMs + (targetLatencyMs * (isResumed ? RESUMED_IN_TIME_SHARE : share)));

/** Returns the monotonic time from which starting a request is useless. Its first chunk, which follows `firstChunkMs` after the start, would then arrive after its caller gives up. */
export const latestStartMs = ({deadlineMs, callerLeavesMs = Infinity}: PlacementRequest, firstChunkMs: number): number =>
	Math.min(deadlineMs, callerLeavesMs) - firstChunkMs - DELIVERY_MARGIN_MS;
