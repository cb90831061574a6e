import test from 'ava';
import {chooseService, createRouteTable} from '../../src/core/routing/route-table.js';
import {type Route} from '../../src/core/routing/types.js';

const route = (name: string, host: string, pathPrefix: string): Route => ({
	name, host, pathPrefix, kind: 'idempotent', isResumable: false, services: [], maxTargets: 1, timeoutMs: 1000, targetLatencyMs: 100, isOpen: true,
});

const routes = createRouteTable([
	route('root', 'a.example', '/'),
	route('rates', 'a.example', '/rates/'),
	route('rates-new', 'a.example', '/rates/new/'),
	route('only', 'b.example', '/x/'),
]);

test('the route with the longest matching path prefix of its host is chosen', t => {
	t.is(routes.routeOf('a.example', '/rates/new/7')?.name, 'rates-new');
	t.is(routes.routeOf('a.example', '/rates/old')?.name, 'rates');
	t.is(routes.routeOf('a.example', '/rates')?.name, 'root');
	t.is(routes.routeOf('A.example:8080', '/rates/?to=/new/')?.name, 'rates');
});

test('no route is returned for an unknown host or path', t => {
	t.is(routes.routeOf('b.example', '/y/'), undefined);
	t.is(routes.routeOf('b.example', '/x'), undefined);
	t.is(routes.routeOf('c.example', '/'), undefined);
});

test('services are chosen by weight', t => {
	const services = [{service: 'old', weight: 90}, {service: 'new', weight: 10}];
	t.is(chooseService(services, () => 0.899), 'old');
	t.is(chooseService(services, () => 0.901), 'new');
	t.is(chooseService([], () => 0.5), undefined);
});
