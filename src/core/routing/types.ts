/** Types of the routing configuration (routes, services, teams' keys and limits) and of the targets. */
import {type RolloutOrderRow} from '../rollout/types.js';

/** Kind of a route's requests. Idempotent requests may be retried, non-idempotent ones may run at most once, and a broken stream may be retried only where it can be resumed. */
export type RequestKind = 'idempotent' | 'non-idempotent' | 'stream';

/** A service with its share of a route's requests. */
export type WeightedService = {
	readonly service: string;
	/** Share relative to the other services of the route. */
	readonly weight: number;
};

export type Route = {
	readonly name: string;
	/** Value of the callers' `Host` header, in lower case. */
	readonly host: string;
	/** Prefix of the paths that belong to the route; starts and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: RequestKind;
	/** Whether a broken stream may be resumed at another target. */
	readonly isResumable: boolean;
	readonly services: readonly WeightedService[];
	/** Most targets that one request may be sent to. */
	readonly maxTargets: number;
	/** Milliseconds from arrival after which the request is ended with a final response to the caller. */
	readonly timeoutMs: number;
	/** Latency target: milliseconds from arrival within which the response counts as in time. */
	readonly targetLatencyMs: number;
	/** Milliseconds without an event after which callers disconnect, also while they wait for the first event; absent if they wait until the timeout. */
	readonly patienceMs?: number;
	/** Priority of the route's requests; 0 is the most urgent. */
	readonly priority?: number;
	/** Whether callers need no API key. */
	readonly isOpen: boolean;
};

/** Limits of one model engine. */
export type ModelEngine = {
	/** Largest number of requests in a batch. */
	readonly slots: number;
	/** Capacity of its KV cache in tokens. */
	readonly kvCapacityTokens: number;
	/** Whether model engines can copy cached prompt prefixes from each other. */
	readonly canCopyPrompts: boolean;
};

export type RoutedService = {
	readonly name: string;
	/** Path of its targets' health check. */
	readonly healthPath: string;
	/** Most connections that one target accepts from all VMs together. */
	readonly maxConnections: number;
	/** Milliseconds for which a target is cold after its start; 0 if it is never cold. */
	readonly coldStartMs: number;
	/** Requests a second that a cold target sustains. */
	readonly coldPerS: number;
	/** Limits of the service's model engines; undefined for a service with plain targets. */
	readonly engine: ModelEngine | undefined;
	/** Tokens a second that all model engines of the service process together; undefined if unknown. A generated token counts twice. */
	readonly tokensPerS: number | undefined;
};

/** Limits on what callers may send. */
export type CallerLimits = {
	readonly headerBytes: number;
	readonly bodyBytes: number;
	/** Milliseconds within which the headers of a request have to arrive. */
	readonly headerTimeoutMs: number;
	/** Milliseconds for which callers may keep a connection idle. */
	readonly idleTimeoutMs: number;
};

/** One version of the routing configuration. */
export type RoutingConfig = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: ReadonlyMap<string, RoutedService>;
	/** Team of each API key; undefined when no route needs a key. */
	readonly teamsByKey: ReadonlyMap<string, string> | undefined;
	/** Priority of the requests of some teams, which overrides the route's priority. The route's priority applies to teams without an entry. */
	readonly teamPriorities?: ReadonlyMap<string, number>;
	readonly limits: CallerLimits;
};

/** A target's entry in the fleet's list of targets, written by the target itself. */
export type TargetRecord = {
	readonly id: string;
	readonly service: string;
	/** `IP:PORT`. */
	readonly address: string;
	readonly dataCentre: string;
	/** Number of requests that the target runs at a time. */
	readonly slots: number;
	/** True once the target has announced that it will stop. */
	readonly isDraining: boolean;
	/** Milliseconds for which the target will still be cold, counted from the time at which it wrote the entry. */
	readonly coldRemainingMs: number;
	/** Sequence number of the target's heartbeat, which grows within one process instance of the target. */
	readonly sequence: number;
	/** Wall-clock time of the target's start in milliseconds, which distinguishes process instances with the same id. */
	readonly bornMs: number;
	/** Version of the target's software; absent if the target does not report one. */
	readonly version?: string;
};

/** An update of the fleet's configuration or targets, from the source that stores them. */
export type FleetUpdate =
	| {readonly kind: 'config'; readonly config: RoutingConfig}
	/** The complete list of targets; a target that is not listed is gone. */
	| {readonly kind: 'all-targets'; readonly targets: readonly TargetRecord[]}
	| {readonly kind: 'target'; readonly target: TargetRecord}
	| {readonly kind: 'target-gone'; readonly id: string}
	/** The known targets are up to date as of now. */
	| {readonly kind: 'targets-current'}
	/** Data centres that operators have taken out of service. */
	| {readonly kind: 'data-centres-out'; readonly names: ReadonlySet<string>}
	/** The current state of the store's row with a service's roll-out order. */
	| {readonly kind: 'rollout-order'; readonly service: string; readonly row: RolloutOrderRow}
	/** The source is not reachable: the known state may be outdated. */
	| {readonly kind: 'source-lost'}
	/** The source is reachable again. */
	| {readonly kind: 'source-regained'};
