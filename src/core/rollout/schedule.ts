/** The times and shares of a roll-out, from its order on. Times are milliseconds. */
import {responsesOf} from './counts.js';
import {type VersionTotals} from './evidence-aggregate.js';
import {type ExposureBounds} from './types.js';

/** Part of the time limit after which traffic moves: a version that turns bad later shows before that, and half of the rest is left for the steps. */
const MOVING_START_SHARE = 0.6;
/** Time before the limit at which the end is written: a write takes up to a second and its news the rest. */
const END_MARGIN_MS = 1500;
/** The same when time was lost to failures: one call to the store that gets no answer would use it up. */
const DELAYED_END_MARGIN_MS = 800;
/** Bounds of the time that a step takes: an announcement reaches all VMs in about a second, and what a bad version gets in a longer step is not needed to tell it. */
const MIN_STEP_MS = 700;
const MAX_STEP_MS = 3000;
/** Part of the time for the steps that is planned for them; the rest makes up for delays. */
const PLANNED_SHARE = 0.9;

/** Share of the trial: half of what a bad version may get. */
const MAX_TRIAL_SHARE = 0.05;
const TRIAL_SHARE_OF_BOUND = 0.5;
/** Shares after the trial; each doubles the load of the new version. */
export const MOVING_SHARES: readonly number[] = [0.25, 0.5, 1];

export type Schedule = {
	readonly movingStartMs: number;
	readonly stepMs: number;
	/** When the end is written, whatever still runs at the old version. */
	readonly endMs: number;
	/** The same when time was lost to failures. */
	readonly latestEndMs: number;
	readonly minStepMs: number;
	/** When the next share must be written at the latest, so that all steps after it fit. */
	readonly latestStartMs: (share: number) => number;
};

export const scheduleOf = (durationMs: number): Schedule => {
	const endMs = Math.max(durationMs / 2, durationMs - END_MARGIN_MS);
	const movingStartMs = durationMs * MOVING_START_SHARE;
	const stepMs = Math.min(MAX_STEP_MS, Math.max(MIN_STEP_MS, (endMs - movingStartMs) / MOVING_SHARES.length * PLANNED_SHARE));
	const latestEndMs = Math.max(endMs, durationMs - DELAYED_END_MARGIN_MS);
	return {
		movingStartMs, stepMs, endMs, latestEndMs, minStepMs: MIN_STEP_MS,
		latestStartMs: share => latestEndMs - (MIN_STEP_MS * MOVING_SHARES.filter(later => later >= share).length),
	};
};

/** Time for the step at a share that began at that age of the order: as planned, or shorter when time was lost. */
export const stepDurationMs = (startedMs: number, share: number, {stepMs, endMs}: Schedule): number =>
	Math.min(stepMs, Math.max(MIN_STEP_MS, (endMs - startedMs) / (MOVING_SHARES.filter(later => later > share).length + 1)));

export const trialShareOf = (boundShare: number): number => Math.min(MAX_TRIAL_SHARE, boundShare * TRIAL_SHARE_OF_BOUND);

/** The share after one; undefined after the last. */
export const nextShare = (share: number): number | undefined => MOVING_SHARES.find(later => later > share);

/** Part of the time limit after which the rate of requests is known and the trial's share may still rise. */
const RAISE_TRIAL_FROM_SHARE = 0.35;
/** Largest share of a trial, for services of a few requests a second. */
const MAX_RAISED_SHARE = 0.25;
/** Part of what a bad version may get that a trial uses at most. */
const MAX_TRIAL_EXPOSURE_SHARE = 0.5;
const MS_PER_S = 1000;

export type RaiseInputs = {
	readonly ageMs: number;
	readonly durationMs: number;
	readonly responses: VersionTotals;
	/** Responses of the new version that are needed before traffic moves. */
	readonly needed: number;
	readonly bounds: ExposureBounds;
};

/**
 * A larger share for the trial of a service with few requests, where the usual one would
 * not show enough by the time that traffic moves; undefined when none is needed or the
 * bound leaves no room for one.
 */
export const raisedTrialShare = (share: number, {ageMs, durationMs, responses, needed, bounds}: RaiseInputs): number | undefined => {
	const remainingMs = (durationMs * MOVING_START_SHARE) - ageMs;
	const newResponses = responsesOf(responses.next);
	const requestsPerMs = (responsesOf(responses.before) + newResponses) / ageMs;
	if (ageMs < durationMs * RAISE_TRIAL_FROM_SHARE || remainingMs < MS_PER_S / 2 || requestsPerMs === 0 || newResponses + (share * requestsPerMs * remainingMs) >= needed) {
		return undefined;
	}

	const allowed = (bounds.slack + (bounds.share * requestsPerMs * durationMs)) * MAX_TRIAL_EXPOSURE_SHARE;
	const wanted = Math.min(needed - newResponses, allowed - newResponses) / (requestsPerMs * remainingMs);
	const raisedShare = Math.min(MAX_RAISED_SHARE, wanted);
	return raisedShare > share * 1.2 ? raisedShare : undefined;
};
