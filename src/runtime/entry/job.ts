/** One caller's request, read and checked, ready to be asked for. */
import {type Prompt} from '../../core/dispatch/types.js';
import {type ServiceConfig} from '../../core/config/fleet-config.js';

/** Header fields by lower-case name. */
export type Headers = Readonly<Record<string, string | string[]>>;

/** The HTTP request that goes to the target. */
export type TargetRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers: Headers;
	readonly body: Uint8Array | undefined;
};

export type Job = {
	readonly requestId: string;
	readonly team: string;
	readonly service: string;
	readonly serviceConfig: ServiceConfig;
	/** `stream`: server-sent events; `model`: one JSON answer; `plain`: any HTTP answer. */
	readonly mode: 'stream' | 'model' | 'plain';
	readonly request: TargetRequest;
	readonly costHint: number | undefined;
	readonly prefixHash: number | undefined;
	readonly idempotencyKey: string | undefined;
	/** Monotonic milliseconds. */
	readonly arrivedMs: number;
	readonly startByMs: number;
	/** Present where a route decides how the request is placed and repeated. */
	readonly route?: JobRoute;
};

/** What the route of a request decides. */
export type JobRoute = {
	readonly name: string;
	/** Targets on which the request may run. */
	readonly maxTargets: number;
	/** Whether a broken stream may go on at another target. */
	readonly isResumable: boolean;
	/** Monotonic milliseconds by which the caller gets its final answer. */
	readonly endByMs: number;
	/** Monotonic milliseconds until which the caller waits. */
	readonly callerWaitsUntilMs: number;
	readonly targetLatencyMs: number;
	/** Milliseconds without an event after which the caller leaves; absent when it waits for the final answer. */
	readonly patienceMs?: number;
	/** Monotonic milliseconds of the caller's first attempt, going by the time that it has left. */
	readonly firstAttemptMs?: number;
	/** Urgency of the team, then of the route; the least is the most urgent. */
	readonly priority?: number;
	readonly prompt?: Prompt;
};
