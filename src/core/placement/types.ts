/** Types of the placement of requests on targets. */
import {type DispatchRequest, type PlacementInput} from '../dispatch/types.js';

/** A request with the figures that decide where it may run. */
export type PlacementRequest = DispatchRequest & PlacementInput;

/** Limits that hold over all VMs together. */
export type FleetBounds = {
	/** Multiple of the service's `coldPerS` that a cold target tolerates without failing. */
	readonly coldFactor: number;
	/** Requests in one second, in addition to that multiple, that a cold target tolerates without failing. */
	readonly coldSlack: number;
	/** Retries allowed for each request to a service. */
	readonly retryRatio: number;
	/** Length in milliseconds of the sliding window in which retries are counted. */
	readonly retryWindowMs: number;
	/** Retries allowed in the window beyond the ratio. */
	readonly retrySlack: number;
	/** Milliseconds between heartbeats of a target. */
	readonly heartbeatMs: number;
};
