import test from 'ava';
import fc from 'fast-check';
import {decodeConfig} from '../../platform/decode-config.js';
import {decodeTarget} from '../../platform/decode-target.js';
import {targetWire} from '../../platform/target-wire.js';
import {configOf} from './_platform.js';

const bytesOf = (value: unknown) => new TextEncoder().encode(JSON.stringify(value));

test('a configuration is decoded into the product\'s words', t => {
	const {routes, ...config} = decodeConfig(bytesOf(configOf(7)));
	t.snapshot({
		routes: routes.slice(0, 2), ...config, services: [...config.services.values()], teamsByKey: [...config.teamsByKey ?? []],
	});
});

test('a route with a traffic split has several weighted services', t => {
	const split = [{service: 'a', weight: 90}, {service: 'b', weight: 10}];
	const wire = configOf(7);
	const {routes} = decodeConfig(bytesOf({...wire, routes: wire.routes.map(route => ({...route, service: undefined, traffic_split: split}))}));
	t.deepEqual(routes[0]?.services, split);
});

test('callers of a stream disconnect after the longest of 2 s, four latency targets and eight pauses without an event, other callers at their deadline', t => {
	const wire = configOf(7);
	const patienceMsOf = (fields: Readonly<Record<string, unknown>>) => decodeConfig(bytesOf({...wire, routes: [{...wire.routes[0], ...fields}]})).routes[0]?.patienceMs;
	t.deepEqual([
		patienceMsOf({target_latency_ms: 300}),
		patienceMsOf({target_latency_ms: 900}),
		patienceMsOf({target_latency_ms: 300, target_gap_ms: 400}),
		patienceMsOf({type: 'idempotent', target_latency_ms: 900}),
	], [2000, 3600, 3200, undefined]);
});

test('priorities of routes and teams are decoded, and absent ones stay absent', t => {
	const wire = configOf(7);
	const [first, second] = wire.routes;
	const {routes, teamPriorities} = decodeConfig(bytesOf({
		...wire,
		routes: [{...first, priority: 0}, {...second, priority: undefined}],
		tenants: [{name: 'a', api_keys: ['ka'], priority: 2}, {name: 'b', api_keys: ['kb']}],
	}));
	t.deepEqual(routes.map(({priority}) => priority), [0, undefined]);
	t.deepEqual([...teamPriorities ?? []], [['a', 2]]);
});

test('unknown fields of the configuration are ignored', t => {
	t.is(decodeConfig(bytesOf({...configOf(8), something: 1})).version, 8);
});

test('decoding a target\'s entry from arbitrary bytes or JSON neither throws nor returns a target', t => {
	const check = () => {
		fc.assert(fc.property(fc.uint8Array({maxLength: 200}), bytes => decodeTarget('x', bytes) === undefined), {seed: 5, numRuns: 300});
		fc.assert(fc.property(fc.jsonValue(), value => decodeTarget('x', bytesOf(value)) === undefined), {seed: 6, numRuns: 300});
	};

	t.notThrows(check);
});

test('a response is classified by its request id before its status', t => {
	const own = {'x-attempt-id': 'r', 'x-server-stamp': 's'};
	const other = {...own, 'x-attempt-id': 'other'};
	t.deepEqual([
		targetWire.classify('r', 200, own),
		targetWire.classify('r', 500, own),
		targetWire.classify('r', 503, {...own, 'x-not-executed': '1'}),
		targetWire.classify('r', 421, own),
		targetWire.classify('r', 503, {...other, 'x-not-executed': '1'}),
		targetWire.classify('r', 421, other),
		targetWire.classify('r', 200, {'x-attempt-id': 'r'}),
	], ['answer', 'error', 'declined', 'misdirected', 'crossed', 'crossed', 'crossed']);
});
