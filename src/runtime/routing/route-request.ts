/** Determines the route, team and priority of a caller's request and builds its job. */
import {type IncomingMessage} from 'node:http';
import {RefusalError} from '../../core/errors/refusal-error.js';
import {
	NotReady, NoTarget, Unauthenticated, UnknownRoute,
} from '../../core/errors/refusals-data.js';
import {DEFAULT_PRIORITY} from '../../core/placement/team-queues.js';
import {chooseService} from '../../core/routing/route-table.js';
import {type Route} from '../../core/routing/types.js';
import {type ServiceConfig} from '../../core/config/fleet-config.js';
import {type Job} from '../entry/job.js';
import {type FleetView} from './fleet-view.js';
import {type CallerWire, type RoutedRequestHead, type RoutedRequest} from './types.js';

/** Retry-After, in milliseconds, while this VM is not ready or no service of a route can be chosen. */
const NOT_READY_RETRY_MS = 500;
/** Team of requests without a known key. */
const OPEN_TEAM = '(open)';

/** Number of different route priorities within one team priority. */
const ROUTE_PRIORITIES = 1000;

/** Combines the priorities of team and route in one number. The team's priority has precedence; the route's decides between requests of equal team priority. */
const combinePriorities = (team = DEFAULT_PRIORITY, route = DEFAULT_PRIORITY): number =>
	(team * ROUTE_PRIORITIES) + Math.min(ROUTE_PRIORITIES - 1, Math.max(0, route));

/** Returns the route, team and priority of a request; throws a `RefusalError` if it has no route or needs a known key. */
export const routeRequest = (view: FleetView, head: RoutedRequestHead, path: string): RoutedRequest => {
	const activeConfig = view.activeConfig();
	if (!activeConfig || !view.isComplete()) {
		throw new RefusalError(NotReady, {}, {retryAfterMs: NOT_READY_RETRY_MS});
	}

	const {config, routes} = activeConfig;
	const route = routes.routeOf(head.host, path);
	if (!route) {
		throw new RefusalError(UnknownRoute, {path});
	}

	const team = head.key === undefined ? undefined : config.teamsByKey?.get(head.key);
	if (config.teamsByKey && !route.isOpen && team === undefined) {
		throw new RefusalError(Unauthenticated);
	}

	return {route, team, priority: combinePriorities(team === undefined ? undefined : config.teamPriorities?.get(team), route.priority)};
};

const repeatOf = ({kind, isResumable}: Route): ServiceConfig['repeat'] =>
	kind === 'idempotent' || (kind === 'stream' && isResumable) ? 'safe' : 'never';

/** Builds the job of a routed request whose body has been read. */
export const createJob = (
	req: IncomingMessage,
	{head, routed: {route, team, priority}, body, arrivedMs}: {readonly head: RoutedRequestHead; readonly routed: RoutedRequest; readonly body: Uint8Array; readonly arrivedMs: number},
	{wire, random}: {readonly wire: CallerWire; readonly random: () => number},
): Job => {
	const service = chooseService(route.services, random);
	if (service === undefined) {
		throw new RefusalError(NoTarget, {service: route.name}, {retryAfterMs: NOT_READY_RETRY_MS});
	}

	const callerWaitsUntilMs = arrivedMs + (head.callerTimeoutMs ?? route.timeoutMs);
	// The caller of a retry has less time left than the route's time limit.
	const firstAttemptMs = Math.min(arrivedMs, callerWaitsUntilMs - route.timeoutMs);
	const endByMs = Math.min(callerWaitsUntilMs, arrivedMs + route.timeoutMs);
	const prompt = wire.readPrompt(req.headers);
	return {
		requestId: head.requestId,
		team: team ?? OPEN_TEAM,
		service,
		serviceConfig: {
			kind: route.kind === 'stream' ? 'model' : 'plain', repeat: repeatOf(route), maxRunMs: route.timeoutMs, maxWaitMs: route.timeoutMs, initialCost: 1, maxCost: 1,
		},
		mode: route.kind === 'stream' ? 'stream' : 'plain',
		request: {
			method: req.method ?? 'GET', path: req.url ?? '/', headers: wire.targetHeaders(req.headers, team), body: body.length > 0 ? body : undefined,
		},
		costHint: undefined,
		prefixHash: undefined,
		idempotencyKey: undefined,
		arrivedMs,
		startByMs: endByMs,
		route: {
			name: route.name, maxTargets: route.maxTargets, isResumable: route.isResumable, endByMs, callerWaitsUntilMs, targetLatencyMs: route.targetLatencyMs,
			firstAttemptMs,
			...(route.patienceMs !== undefined && {patienceMs: route.patienceMs}),
			priority,
			...(prompt && {prompt}),
		},
	};
};
