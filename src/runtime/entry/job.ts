/** Types of a job: one caller's request, parsed and validated, ready to be submitted to the scheduler. */
import {type Prompt} from '../../core/dispatch/types.js';
import {type ServiceConfig} from '../../core/config/fleet-config.js';

/** Header fields by lower-case name. */
export type Headers = Readonly<Record<string, string | string[]>>;

/** The HTTP request that is sent to the target. */
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
	/** Form of the response. `stream`: server-sent events; `model`: one JSON document; `plain`: any HTTP response. */
	readonly mode: 'stream' | 'model' | 'plain';
	readonly request: TargetRequest;
	readonly costHint: number | undefined;
	readonly prefixHash: number | undefined;
	readonly idempotencyKey: string | undefined;
	/** Monotonic milliseconds at which the request arrived. */
	readonly arrivedMs: number;
	/** Monotonic milliseconds by which the request must have been sent to a target. */
	readonly startByMs: number;
	/** Present where a route determines how the request is placed and retried. */
	readonly route?: JobRoute;
};

/** The settings that a request gets from its route. */
export type JobRoute = {
	readonly name: string;
	/** Most targets that the request may be sent to. */
	readonly maxTargets: number;
	/** Whether a broken stream may be resumed at another target. */
	readonly isResumable: boolean;
	/** Monotonic milliseconds by which the caller must have its complete response or a refusal. */
	readonly endByMs: number;
	/** Monotonic milliseconds of the caller's deadline, after which it no longer waits for the response. */
	readonly callerWaitsUntilMs: number;
	readonly targetLatencyMs: number;
	/** Milliseconds without an event after which the caller disconnects; absent when it waits for the complete response. */
	readonly patienceMs?: number;
	/** Monotonic milliseconds of the caller's first attempt, estimated from the time that remains until its deadline. */
	readonly firstAttemptMs?: number;
	/** Combined priority of team and route, in which the team's has precedence. The lowest number is the most urgent. */
	readonly priority?: number;
	readonly prompt?: Prompt;
};
