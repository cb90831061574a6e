/** Builds HTTP requests about a run that a model engine has accepted. */
import {type TargetRequest} from './job.js';

const streamPath = (requestId: string) => `/v1/streams/${requestId}`;

/** Returns the request for the events of a stream from a token offset on. */
export const resumeRequest = (requestId: string, offset: number): TargetRequest => ({
	method: 'GET', path: `${streamPath(requestId)}?offset=${offset}`, headers: {'x-request-id': requestId}, body: undefined,
});

/** Returns the request that cancels a run. */
export const cancelRequest = (requestId: string): TargetRequest => ({
	method: 'DELETE', path: streamPath(requestId), headers: {'x-request-id': requestId}, body: undefined,
});
