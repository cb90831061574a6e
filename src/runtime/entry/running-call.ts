/** A call to a target, whatever protocol the target speaks. */
import {type AttemptMessage} from '../../core/attempt/types.js';
import {type Grant} from '../../core/dispatch/types.js';
import {type CallerResponse} from './caller-response.js';
import {type Job} from './job.js';

export type RunningCall = {
	/** Cost of what has arrived so far, in cost units. */
	readonly cost: number;
	readonly start: () => void;
	/** Forgets the call. Nothing more is told. */
	readonly drop: () => void;
	/** The caller has left. */
	readonly cancel: () => void;
	/** Gives up a run that takes too long. Nothing more is told. */
	readonly abandon: () => void;
	/** Goes on after a pause for a slow caller. */
	readonly resume: () => void;
	/** Gives the caller the failure that the target answered. */
	readonly deliverError?: () => void;
};

/** What an attempt gives to one call. */
export type CallOptions = {
	readonly grant: Grant;
	/** Asks the attempt whether the first byte may be written. */
	readonly mayWrite: () => boolean;
	/** Takes what the call has to tell; at most one final message. */
	readonly notify: (message: AttemptMessage) => void;
};

export type CreateCall = (options: CallOptions) => RunningCall;

/** Prepares the calls of one attempt, which may go on where an earlier one broke. */
export type CreateCalls = (job: Job, response: CallerResponse) => CreateCall;
