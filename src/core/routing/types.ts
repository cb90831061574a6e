/** What operators decide about requests: routes, services, teams' keys and limits. */
import {type RolloutOrderRow} from '../rollout/types.js';

/** Tells what may be repeated. A stream may be repeated only where it can be resumed. */
export type RequestKind = 'idempotent' | 'non-idempotent' | 'stream';

/** A service with its share of a route's requests. */
export type WeightedService = {
	readonly service: string;
	/** Share relative to the other services of the route. */
	readonly weight: number;
};

export type Route = {
	readonly name: string;
	/** Host that callers name, in lower case. */
	readonly host: string;
	/** Beginning of the paths that belong to the route; starts and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: RequestKind;
	/** Whether a broken stream may go on at another target. */
	readonly isResumable: boolean;
	readonly services: readonly WeightedService[];
	/** Targets that one request may be sent to. */
	readonly maxTargets: number;
	/** Milliseconds from arrival after which the caller gets its final answer. */
	readonly timeoutMs: number;
	/** Milliseconds from arrival within which an answer has its full value. */
	readonly targetLatencyMs: number;
	/** Milliseconds without an event, also before the first one, after which callers leave; absent when they wait for the final answer. */
	readonly patienceMs?: number;
	/** Urgency of its requests; 0 is the most urgent. */
	readonly priority?: number;
	/** Whether callers need no key. */
	readonly isOpen: boolean;
};

/** Limits of one model engine. */
export type ModelEngine = {
	/** Requests in a batch. */
	readonly slots: number;
	/** Tokens that fit into its KV cache. */
	readonly kvCapacityTokens: number;
	/** Whether engines can copy kept prompt parts from each other. */
	readonly canCopyPrompts: boolean;
};

export type RoutedService = {
	readonly name: string;
	readonly healthPath: string;
	/** Connections that one target accepts from all VMs together. */
	readonly maxConnections: number;
	/** Milliseconds for which a target stays cold after its start; 0 if it is never cold. */
	readonly coldStartMs: number;
	/** Requests a second that a cold target bears. */
	readonly coldPerS: number;
	/** Absent for plain services. */
	readonly engine: ModelEngine | undefined;
	/** Tokens a second that all its engines produce together, a generated one counting twice; absent if unknown. */
	readonly tokensPerS: number | undefined;
};

/** Limits on what callers may send. */
export type CallerLimits = {
	readonly headerBytes: number;
	readonly bodyBytes: number;
	readonly headerTimeoutMs: number;
	/** Milliseconds for which callers may keep a connection idle. */
	readonly idleTimeoutMs: number;
};

/** One version of the routing configuration. */
export type RoutingConfig = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: ReadonlyMap<string, RoutedService>;
	/** Team by key; absent when callers need no keys at all. */
	readonly teamsByKey: ReadonlyMap<string, string> | undefined;
	/** Urgency of teams' requests, which takes precedence over that of the route; absent teams have none of their own. */
	readonly teamPriorities?: ReadonlyMap<string, number>;
	readonly limits: CallerLimits;
};

/** What a target says of itself. */
export type TargetRecord = {
	readonly id: string;
	readonly service: string;
	/** `IP:PORT`. */
	readonly address: string;
	readonly dataCentre: string;
	/** Requests that it runs at a time. */
	readonly slots: number;
	/** True once it has announced that it will leave. */
	readonly isDraining: boolean;
	/** Milliseconds for which it stays cold, as of the moment of writing. */
	readonly coldRemainingMs: number;
	/** Grows with each heartbeat of one run of the target. */
	readonly sequence: number;
	/** Wall-clock milliseconds of its start, which tell runs under one id apart. */
	readonly bornMs: number;
	/** Version of its software; absent if it does not say. */
	readonly version?: string;
};

/** News of the fleet, from whatever keeps it. */
export type FleetUpdate =
	| {readonly kind: 'config'; readonly config: RoutingConfig}
	/** All targets there are; what is not named is gone. */
	| {readonly kind: 'all-targets'; readonly targets: readonly TargetRecord[]}
	| {readonly kind: 'target'; readonly target: TargetRecord}
	| {readonly kind: 'target-gone'; readonly id: string}
	/** What was told of targets holds as of now. */
	| {readonly kind: 'targets-current'}
	/** Data centres that operators have taken out. */
	| {readonly kind: 'data-centres-out'; readonly names: ReadonlySet<string>}
	/** What became of the row that orders a service's roll-out. */
	| {readonly kind: 'rollout-order'; readonly service: string; readonly row: RolloutOrderRow}
	| {readonly kind: 'source-lost'}
	| {readonly kind: 'source-regained'};
