/** How the answer of a running call is read and passed on. */
import {type IncomingHttpHeaders} from 'node:http';
import {type FaultReason} from '../../core/attempt/types.js';
import {type CallerResponse} from './caller-response.js';
import {type Job} from './job.js';

/** Reads one answer; the call's events come in order. */
export type ResponseReader = {
	readonly onData: (chunk: Uint8Array) => void;
	readonly onEnd: () => void;
	readonly onBroken: () => void;
	/** Cost of what has arrived so far. */
	readonly cost: () => number;
};

/** What a reader needs of its attempt. */
export type ReaderContext = {
	readonly job: Job;
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly response: CallerResponse;
	readonly onDelivering: () => void;
	readonly onAnswered: (cost: number) => void;
	readonly onFailed: (reason: FaultReason, cost: number) => void;
	/** Counts an answer or event that is not used. */
	readonly onDropped: (reason: string) => void;
	/** Stops reading until the caller has taken what was written. */
	readonly pause: () => void;
};
