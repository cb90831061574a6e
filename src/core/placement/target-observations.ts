/** Updates the state of a target from observations during calls to it and from the results of those calls. */
import {type GrantResult, type Observation} from '../dispatch/types.js';
import {type TargetView} from './target-view.js';
import {type PrefillRate} from './prefill-rate.js';

export type ObservationContext = {
	/** Milliseconds for which a target is cold after its start. */
	readonly coldStartMs: number;
	readonly prefillRate: PrefillRate;
	readonly nowMs: number;
};

export const noteEnd = (target: TargetView, {grantId, result}: {readonly grantId: string; readonly result: GrantResult}, {coldStartMs, nowMs}: ObservationContext): void => {
	target.end(grantId);
	// A target that asked this VM to back off has not failed.
	const isBackingOff = result.kind === 'overloaded' && target.backOffMs(nowMs) > 0;
	if (result.kind === 'failed' || (result.kind === 'overloaded' && !isBackingOff)) {
		target.noteFailed(nowMs);
	} else if (result.kind === 'answered') {
		target.noteAnswered();
		target.noteAlive(coldStartMs, nowMs);
	}
};

export const noteObservation = (
	target: TargetView,
	{grantId, observation}: {readonly grantId: string; readonly observation: Observation},
	{coldStartMs, prefillRate, nowMs}: ObservationContext,
): void => {
	switch (observation.kind) {
		case 'load': {
			target.noteAlive(coldStartMs, nowMs);
			target.noteLoad(observation.load, nowMs);
			break;
		}

		case 'first-token': {
			target.noteAlive(coldStartMs, nowMs);
			const backlogTokens = target.readingTokens;
			const placed = target.noteFirstToken(grantId, nowMs);
			if (placed) {
				prefillRate.note(Math.max(placed.newTokens, backlogTokens / 2), nowMs - placed.sentMs);
				target.prefillPace.note(nowMs - placed.sentMs, placed.predictedMs, nowMs);
			}

			break;
		}

		case 'misdirected': {
			target.isMisdirected = true;
			break;
		}

		case 'leaving': {
			target.noteLeaving(nowMs);
			break;
		}

		case 'held-off': {
			target.noteBackOff(observation.forMs, nowMs);
			break;
		}
	}
};
