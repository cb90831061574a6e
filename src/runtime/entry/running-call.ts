/** Types of a call to a target, independent of the protocol that the target uses. */
import {type AttemptMessage} from '../../core/attempt/types.js';
import {type Grant} from '../../core/dispatch/types.js';
import {type CallerResponse} from './caller-response.js';
import {type Job} from './job.js';

export type RunningCall = {
	/** Cost of what has been received so far, in cost units. */
	readonly cost: number;
	readonly start: () => void;
	/** Closes the call without notifying the attempt of its end. */
	readonly drop: () => void;
	/** Cancels the call, because the caller has disconnected. */
	readonly cancel: () => void;
	/** Ends a call that has exceeded its run time, without notifying the attempt of its end. */
	readonly abandon: () => void;
	/** Resumes reading after a pause for a slow caller. */
	readonly resume: () => void;
	/** Passes on to the caller the error response of the target. */
	readonly deliverError?: () => void;
};

/** What an attempt passes to one call. */
export type CallOptions = {
	readonly grant: Grant;
	/** Returns whether the attempt permits the first byte to be written. */
	readonly mayWrite: () => boolean;
	/** Notifies the attempt of the call's events. At most one message ends the call. */
	readonly notify: (message: AttemptMessage) => void;
};

export type CreateCall = (options: CallOptions) => RunningCall;

/** Prepares the calls of one request. A later call may resume a stream that broke in an earlier one. */
export type CreateCalls = (job: Job, response: CallerResponse) => CreateCall;
