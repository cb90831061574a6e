/** What the placement of requests on targets works with. */
import {type DispatchRequest, type PlacementInput} from '../dispatch/types.js';

/** An ask with all that decides where it may run. */
export type PlacementRequest = DispatchRequest & PlacementInput;

/** Bounds that hold over all VMs together. */
export type FleetBounds = {
	/** Multiple of a cold target's rate that it survives. */
	readonly coldFactor: number;
	/** Requests beyond that multiple which a cold target survives in one second. */
	readonly coldSlack: number;
	/** Repeats allowed for each request to a service. */
	readonly retryRatio: number;
	/** Milliseconds of the sliding window in which repeats are counted. */
	readonly retryWindowMs: number;
	/** Repeats allowed in the window beyond the ratio. */
	readonly retrySlack: number;
	/** Milliseconds between heartbeats of a target. */
	readonly heartbeatMs: number;
};
