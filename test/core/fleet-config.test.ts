import test from 'ava';
import {fleetConfigSchema} from '../../src/core/config/fleet-config.js';

test('parsing a document of a newer release keeps its unknown fields', t => {
	const document = fleetConfigSchema.parse({version: 3, teams: {couriers: {weight: 2, colour: 'blue'}}, quotas: {a: 1}});
	t.is(document.teams.couriers?.colour, 'blue');
	t.deepEqual(document.quotas, {a: 1});
});

test('missing fields get their documented defaults', t => {
	t.snapshot(fleetConfigSchema.parse({
		version: 1,
		services: {tariff: {kind: 'model'}},
		targets: {'tariff-1': {service: 'tariff', dataCentre: 'colombo', address: '127.0.0.1:9001'}},
	}));
});

test('an address by host name is refused with what is allowed', t => {
	const result = fleetConfigSchema.safeParse({
		version: 1,
		targets: {x: {service: 'tariff', dataCentre: 'colombo', address: 'localhost:80'}},
	});
	t.snapshot(result.error?.issues);
});
