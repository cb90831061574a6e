/** Types for reading the response of a target and passing it on to the caller. */
import {type IncomingHttpHeaders} from 'node:http';
import {type FaultReason} from '../../core/attempt/types.js';
import {type CallerResponse} from './caller-response.js';
import {type Job} from './job.js';

/** Reads one response. Its methods are called in the order in which the events of the call occur. */
export type ResponseReader = {
	readonly onData: (chunk: Uint8Array) => void;
	readonly onEnd: () => void;
	readonly onBroken: () => void;
	/** Returns the cost, in cost units, of what has been received so far. */
	readonly cost: () => number;
};

/** What a reader gets from its call: the response's head, the caller's response, and callbacks. */
export type ReaderContext = {
	readonly job: Job;
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly response: CallerResponse;
	readonly onDelivering: () => void;
	readonly onAnswered: (cost: number) => void;
	readonly onFailed: (reason: FaultReason, cost: number) => void;
	/** Counts a response or event that is discarded. */
	readonly onDropped: (reason: string) => void;
	/** Pauses reading from the target until the caller has read what was written. */
	readonly pause: () => void;
};
