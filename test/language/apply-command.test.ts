import test from 'ava';
import {applyCommand} from '../../src/core/language/apply-command.js';
import {differenceText, diffConfig} from '../../src/core/language/diff-config.js';
import {parseStatement} from '../../src/core/language/parse-statement.js';
import {fleetConfigSchema, type FleetConfig} from '../../src/core/config/fleet-config.js';

const hash = (digit: string): string => digit.repeat(64);

const fleet = fleetConfigSchema.parse({
	version: 7,
	teams: {couriers: {weight: 2, tokenHashes: [hash('a')]}},
	operators: {ruwan: {tokenHashes: [hash('b')]}},
	services: {tariff: {kind: 'model'}},
	dataCentres: {colombo: {}},
	targets: {'tariff-1': {service: 'tariff', dataCentre: 'colombo', address: '127.0.0.1:9001'}},
	quotas: {written: 'by a newer release'},
});

const earlier = fleetConfigSchema.parse({version: 3, teams: {couriers: {weight: 9}}});

const outcome = (text: string, config: FleetConfig = fleet): string => {
	const {statement, fault} = parseStatement(text);
	if (!statement || statement.kind === 'query') {
		return fault?.message ?? 'a query';
	}

	const applied = applyCommand(config, statement, version => version === 3 ? earlier : undefined);
	return applied.config
		? [`version ${applied.config.version}`, ...diffConfig(config, applied.config).map(difference => differenceText(difference))].join('\n  ')
		: `${applied.fault.data.name}: ${applied.fault.message}`;
};

const outcomes = (texts: readonly string[]): string => texts.map(text => `${text}\n  ${outcome(text)}`).join('\n');

test('commands write the next version and nothing besides', t => {
	t.snapshot(outcomes([
		'create team agents weight 0.5',
		'change team couriers set weight 3 max_queued 20',
		'change team couriers set weight none',
		'remove team couriers',
		'create target tariff-2 service tariff data_centre colombo address 127.0.0.1:9002 cold_limit 2',
		'change contract tariff-1 set warm_limit 16 checks_fencing true',
		'change sharing set tick_ms 20',
		'take data_centre colombo out',
		'bring data_centre colombo back',
		'drain target tariff-1',
		`add token ${hash('c')} to team couriers`,
		`remove token ${hash('b')} from operator ruwan`,
		'revert to version 3',
	]));
});

test('commands that cannot be applied give a typed fault', t => {
	t.snapshot(outcomes([
		'create team couriers',
		'create team Couriers',
		'create team "__proto__"',
		'change team agents set weight 3',
		'change team couriers set weight -1 max_queued 0.5',
		'change team couriers set weight heavy',
		'create target tariff-2 service parcel data_centre colombo address 127.0.0.1:9002',
		'create target tariff-2 service tariff data_centre galle address 127.0.0.1:9002',
		'create target tariff-2',
		'remove service tariff',
		'remove data_centre colombo',
		'take data_centre galle out',
		`add token ${hash('b')} to team couriers`,
		'add token secret to team couriers',
		`remove token ${hash('c')} from team couriers`,
		'revert to version 4',
	]));
});

test('a command does not modify the document that it is applied to', t => {
	const before = structuredClone(fleet);
	outcome('change team couriers set weight 3');
	outcome('remove team couriers');
	t.deepEqual(fleet, before);
});
