import {isDeepStrictEqual} from 'node:util';
import test from 'ava';
import fc from 'fast-check';
import {applyCommand} from '../../src/core/language/apply-command.js';
import {diffConfig} from '../../src/core/language/diff-config.js';
import {parseStatement} from '../../src/core/language/parse-statement.js';
import {fleetConfigSchema, type FleetConfig} from '../../src/core/config/fleet-config.js';

const empty = fleetConfigSchema.parse({version: 0, quotas: {written: 'by a newer release'}});

const name = fc.oneof({weight: 9, arbitrary: fc.constantFrom('a', 'b')}, fc.constantFrom('__proto__', 'BAD'));
const hash = fc.constantFrom('a', 'b').map(digit => digit.repeat(64));
const kind = fc.constantFrom('team', 'service', 'data_centre', 'target', 'operator');
const holder = fc.constantFrom('team', 'operator');
const value = fc.constantFrom('1', '-1', '0.5', 'none', 'a', 'true', '"127.0.0.1:1"');

const command = fc.oneof(
	fc.tuple(kind, name).map(parts => `create ${parts.join(' ')}`),
	fc.tuple(kind, name).map(parts => `remove ${parts.join(' ')}`),
	name.map(service => `create service ${service} kind plain`),
	fc.tuple(name, name, name).map(([target, service, dataCentre]) => `create target ${target} service ${service} data_centre ${dataCentre} address 127.0.0.1:1`),
	fc.tuple(name, value).map(parts => `change team ${parts[0]} set weight ${parts[1]}`),
	fc.tuple(name, fc.constantFrom('service', 'data_centre', 'address', 'cold_limit'), value).map(parts => `change target ${parts[0]} set ${parts[1]} ${parts[2]}`),
	value.map(text => `change sharing set tick_ms ${text}`),
	name.map(dataCentre => `take data_centre ${dataCentre} out`),
	name.map(target => `drain target ${target}`),
	fc.tuple(hash, holder, name).map(parts => `add token ${parts[0]} to ${parts[1]} ${parts[2]}`),
	fc.tuple(hash, holder, name).map(parts => `remove token ${parts[0]} from ${parts[1]} ${parts[2]}`),
	fc.nat({max: 12}).map(version => `revert to version ${version}`),
);

const isValidVersion = (config: FleetConfig): boolean => {
	const holders = [...Object.values(config.teams), ...Object.values(config.operators)];
	const hashes = holders.flatMap(({tokenHashes}) => tokenHashes);
	return isDeepStrictEqual(fleetConfigSchema.parse(config), config)
		&& new Set(hashes).size === hashes.length
		&& Object.values(config.targets).every(({service, dataCentre}) => config.services[service] && config.dataCentres[dataCentre])
		&& isDeepStrictEqual(config.quotas, empty.quotas);
};

/** Applies commands one after another. Returns false when a version is not valid or its number is not the next one. */
const staysValid = (texts: readonly string[]): boolean => {
	const versions: FleetConfig[] = [empty];
	for (const text of texts) {
		const current = versions.at(-1) ?? empty;
		const {statement} = parseStatement(text);
		if (!statement || statement.kind === 'query') {
			return false;
		}

		const {config} = applyCommand(current, statement, version => versions[version]);
		if (config && (config.version !== versions.length || !isValidVersion(config))) {
			return false;
		}

		if (config) {
			versions.push(config);
		}
	}

	return true;
};

test('any sequence of commands leaves a valid document and keeps the fields that a newer release wrote', t => {
	t.notThrows(() => {
		fc.assert(fc.property(fc.array(command, {maxLength: 60, size: 'max'}), staysValid), {seed: 34, numRuns: 400});
	});
});

test('the generated commands cause every fault that a command can have', t => {
	const texts = fc.sample(command, {seed: 34, numRuns: 4000});
	let config: FleetConfig = empty;
	const faults = new Set<string>();
	for (const text of texts) {
		const {statement} = parseStatement(text);
		if (statement && statement.kind !== 'query') {
			const applied = applyCommand(config, statement, () => undefined);
			config = applied.config ?? config;
			faults.add(applied.fault?.data.name ?? 'none');
		}
	}

	t.deepEqual([...faults].toSorted(), ['InvalidChange', 'ObjectExists', 'ObjectInUse', 'ObjectMissing', 'TokenExists', 'TokenMissing', 'VersionMissing', 'none']);
	t.true(diffConfig(empty, config).length > 0);
});
