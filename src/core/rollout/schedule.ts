/** The schedule of a roll-out and its traffic shares. Times are milliseconds since the order. */
import {responsesOf} from './counts.js';
import {type VersionTotals} from './evidence-aggregate.js';
import {type ExposureBounds} from './types.js';

/** Share of the time limit after which traffic moves. A version that turns bad some time after its start is detected before this time. The steps and the write of the end take the remaining time. */
const MOVING_START_SHARE = 0.6;
/** Milliseconds before the time limit at which the end is written. The write takes up to a second, and its announcement has the remaining time. */
const END_MARGIN_MS = 1500;
/** The same margin when failures have delayed the roll-out. One call to the store that gets no response would use up this margin. */
const DELAYED_END_MARGIN_MS = 800;
/** Bounds of the duration of a step. An announcement reaches all VMs in about a second; a longer step would give a bad version more requests than are needed to detect it. */
const MIN_STEP_MS = 700;
const MAX_STEP_MS = 3000;
/** Share of the available time that the steps are planned to take; the remaining time absorbs delays. */
const PLANNED_SHARE = 0.9;

/** The traffic share of the trial is half of the share that a bad version may get, but at most this share. */
const MAX_TRIAL_SHARE = 0.05;
const TRIAL_SHARE_OF_BOUND = 0.5;
/** Traffic shares after the trial. Each doubles the load of the new version. */
export const MOVING_SHARES: readonly number[] = [0.25, 0.5, 1];

export type Schedule = {
	/** When traffic starts to move to the new version. */
	readonly movingStartMs: number;
	readonly stepMs: number;
	/** When the end is written even if requests still run at the old versions. */
	readonly endMs: number;
	/** The time `endMs` for a roll-out that failures have delayed. */
	readonly latestEndMs: number;
	readonly minStepMs: number;
	/** Returns the latest time at which the step to `share` can be written so that it and all later steps still fit. */
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

/** Returns the duration of the step at `share` that began `startedMs` after the order: as planned, or shorter after delays. */
export const stepDurationMs = (startedMs: number, share: number, {stepMs, endMs}: Schedule): number =>
	Math.min(stepMs, Math.max(MIN_STEP_MS, (endMs - startedMs) / (MOVING_SHARES.filter(later => later > share).length + 1)));

export const trialShareOf = (boundShare: number): number => Math.min(MAX_TRIAL_SHARE, boundShare * TRIAL_SHARE_OF_BOUND);

/** Returns the share that follows `share`; undefined after the last. */
export const nextShare = (share: number): number | undefined => MOVING_SHARES.find(later => later > share);

/** Share of the time limit after which the request rate is known well enough to raise the share of the trial. */
const RAISE_TRIAL_FROM_SHARE = 0.35;
/** Largest traffic share of a trial, for services with a few requests per second. */
const MAX_RAISED_SHARE = 0.25;
/** Largest share of the exposure bound that a trial may use. */
const MAX_TRIAL_EXPOSURE_SHARE = 0.5;
const MS_PER_S = 1000;

export type RaiseInputs = {
	readonly ageMs: number;
	readonly durationMs: number;
	readonly responses: VersionTotals;
	/** Responses of the new version that a trial is expected to reach after its traffic share is raised. */
	readonly needed: number;
	readonly bounds: ExposureBounds;
};

/**
 * Returns a larger trial share for a service with so few requests that the present share would
 * not give enough responses by the time traffic moves; undefined when no larger share is
 * needed or the exposure bound leaves no room for one.
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
