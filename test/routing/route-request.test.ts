import test from 'ava';
import {createRouteTable} from '../../src/core/routing/route-table.js';
import {type Route, type RoutingConfig} from '../../src/core/routing/types.js';
import {type FleetView} from '../../src/runtime/routing/fleet-view.js';
import {routeRequest} from '../../src/runtime/routing/route-request.js';

const route = (name: string, changes: Partial<Route>): Route => ({
	name, host: 'h', pathPrefix: `/${name}/`, kind: 'idempotent', isResumable: false, services: [], maxTargets: 1, timeoutMs: 1000, targetLatencyMs: 100, isOpen: false, ...changes,
});

const config: RoutingConfig = {
	version: 1,
	routes: [route('urgent', {priority: 0}), route('plain', {}), route('slow', {priority: 2})],
	services: new Map(),
	teamsByKey: new Map([['key-a', 'a'], ['key-b', 'b'], ['key-c', 'c']]),
	teamPriorities: new Map([['a', 0], ['b', 2]]),
	limits: {
		headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
	},
};

const view: FleetView = {
	activeConfig: () => ({config, routes: createRouteTable(config.routes)}),
	targets: () => new Map(),
	isDataCentreOut: () => false,
	dataCentresOut: () => new Set(),
	isComplete: () => true,
	apply: () => [],
};

const priorityOf = (team: string, path: string) => routeRequest(view, {
	requestId: 'r', host: 'h', key: `key-${team}`, callerTimeoutMs: undefined,
}, `/${path}/x`).priority;

test('the priority of a team has precedence, and that of the route decides between equal team priorities', t => {
	const inOrder = [['a', 'urgent'], ['a', 'slow'], ['c', 'urgent'], ['c', 'plain'], ['c', 'slow'], ['b', 'urgent'], ['b', 'slow']]
		.map(([team = '', path = '']) => priorityOf(team, path));
	t.deepEqual(inOrder, inOrder.toSorted((one, other) => one - other));
	t.is(new Set(inOrder).size, inOrder.length);
});
