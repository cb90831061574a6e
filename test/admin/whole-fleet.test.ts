import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {request} from 'undici';
import * as z from 'zod';
import {startFleet} from '../../tools/fleet/start-fleet.js';
import {type Fleet} from '../../tools/fleet/fleet.js';
import {type FleetSpec} from '../../tools/fleet/types.js';
import {runInTest, type Outcome} from '../cli/fake-io.js';

const ACTIVE_MS = 5000;
const POLL_MS = 50;
/** Makes a request of 1 ms last long enough to be observed. */
const SLOW_FACTOR = 2000;

const spec: FleetSpec = {
	dataCentres: ['colombo', 'galle'].map(name => ({
		name, routers: 2, targets: [{service: 'ledger', count: 1, settings: {service_ms: 1, warm_after: 0}}],
	})),
	services: [{name: 'ledger', standin: 'ledger', config: {kind: 'plain', repeat: 'never'}}],
	teams: [{name: 'couriers', token: 'secret', weight: 2}, {name: 'agents', token: 'other', weight: 1}],
	operators: {ruwan: 'token-of-ruwan'},
};

let fleet: Fleet;
let operations = 0;

test.before(async () => {
	fleet = await startFleet(spec);
});

test.after.always(async () => {
	await fleet?.close();
});

/** Runs the client against one router of the fleet. */
const client = async (vm: string, ...argv: readonly string[]): Promise<Outcome> => {
	const [command = '', ...rest] = argv;
	return runInTest([command, '--router', fleet.router(vm).admin, ...rest], {
		env: {JACKDAWWOOD_TOKEN: 'token-of-ruwan'},
		createOperationId() {
			operations += 1;
			return `operation-${operations}`;
		},
	});
};

/** Runs the client until its outcome is the wanted one or the time is up. Returns the last outcome. */
const eventually = async (run: () => Promise<Outcome>, isWanted: (outcome: Outcome) => boolean): Promise<Outcome> => {
	const deadline = AbortSignal.timeout(ACTIVE_MS);
	let outcome = await run();
	while (!isWanted(outcome) && !deadline.aborted) {
		await delay(POLL_MS); // eslint-disable-line no-await-in-loop
		outcome = await run(); // eslint-disable-line no-await-in-loop
	}

	return outcome;
};

const currentVersion = async (): Promise<number> => {
	const row = await request(`http://${fleet.platform.address}/tables/config/rows/current`);
	return z.object({value: z.object({version: z.number()})}).parse(await row.body.json()).value.version;
};

/** Waits until a version is active at all routers; returns the last line of the query for it. */
const waitUntilActive = async (version: number): Promise<string | undefined> => {
	const {output} = await eventually(async () => client('galle-vm-1', 'query', `vms where config_version = ${version} show id`), ({output}) => output.at(-1) === '4 rows');
	return output.at(-1);
};

test.serial('operators drive a fleet of processes through any of its routers', async t => {
	const vms = await eventually(async () => client('galle-vm-2', 'query', 'vms show id, data_centre, state, ready, config_version'), ({output}) => output.at(-1) === '4 rows');
	t.snapshot(vms, 'all VMs');

	t.snapshot(await client('colombo-vm-1', 'do', '--dry-run', 'take data_centre galle out'), 'a dry run');
	t.snapshot(await client('colombo-vm-1', 'do', 'change team agents set weight 3'), 'a command');
	t.is(await waitUntilActive(2), '4 rows');
	t.snapshot(await client('galle-vm-1', 'query', 'teams show name, weight, backlogged'), 'the command in force elsewhere');
	t.snapshot(await client('galle-vm-1', 'query', 'leases show service, data_centre'), 'leases');
	t.snapshot(await client('galle-vm-1', 'query', 'config_history show version, operator'), 'history');
	const reverted = await client('galle-vm-1', 'do', 'revert to version 1');
	t.is(reverted.output.at(-1), 'written as version 3');
});

test.serial('of operators who race, the losers get an error and no accepted change is lost', async t => {
	const before = await currentVersion();
	t.is(await waitUntilActive(before), '4 rows');
	const commands = ['change team couriers set weight 5', 'change team agents set weight 6', 'change sharing set tick_ms 20', 'take data_centre galle out'];
	const outcomes = await Promise.all(fleet.routers.map(async ({id}, index) => client(id, 'do', commands[index] ?? '')));
	const written = outcomes.filter(({exitCode}) => exitCode === 0);
	t.true(written.length > 0);
	for (const {errors} of outcomes.filter(({exitCode}) => exitCode !== 0)) {
		t.regex(errors[0] ?? '', /is no longer current: version \d+ was written by ruwan/v);
	}

	t.is(await currentVersion(), before + written.length);
	t.is(await waitUntilActive(before + written.length), '4 rows');
	const accepted = written.flatMap(({output}) => output.filter(line => line.startsWith('~')));
	const undone = await client('galle-vm-1', 'do', '--dry-run', `revert to version ${before}`);
	t.is(undone.output.filter(line => line.startsWith('~')).length, accepted.length);
});

const debit = async (vm: string, token: string): Promise<number> => {
	const res = await request(`http://${fleet.router(vm).callers}/services/ledger/debits`, {
		method: 'POST', headers: {authorization: `Bearer ${token}`}, body: JSON.stringify({account: 'a', amount: 1}),
	});
	await res.body.dump();
	return res.statusCode;
};

test.serial('queries show open requests and refusals with team and state', async t => {
	const targets = fleet.targets.map(({id}) => id);
	await Promise.all(targets.map(async id => fleet.targetControl(id, {slow_factor: SLOW_FACTOR})));
	const pendingStatus = debit('colombo-vm-1', 'secret');
	const open = await eventually(
		async () => client('galle-vm-1', 'query', 'requests where state = sent show team, service, state, vm, attempts'),
		({output}) => output.at(-1) === '1 row',
	);
	t.deepEqual(open.output, ['team      service  state  vm            attempts', 'couriers  ledger   sent   colombo-vm-1         1', '1 row']);

	await Promise.all(targets.map(async id => fleet.targetControl(id, {slow_factor: 1})));
	t.is(await pendingStatus, 200);
	t.is(await debit('colombo-vm-1', 'unknown'), 401);
	const refused = await eventually(async () => client('galle-vm-1', 'query', 'refusals'), ({output}) => output.at(-1) === '1 row');
	t.deepEqual(refused.output, ['reason           team  service  not_run  count', 'Unauthenticated  -     -        yes          1', '1 row']);
	const services = await client('galle-vm-1', 'query', 'services show name, answered, refused, running');
	t.deepEqual(services.output, ['name    answered  refused  running', 'ledger         1        0        0', '1 row']);
	const dataCentres = await client('galle-vm-1', 'query', 'data_centres show name, vms, queued, running');
	t.deepEqual(dataCentres.output, ['name     vms  queued  running', 'colombo    2       0        0', 'galle      2       0        0', '2 rows']);
	const none = await client('galle-vm-1', 'query', 'requests show id');
	t.is(none.output.at(-1), '0 rows');
});

test.serial('responses name an unreachable VM and an unreachable platform as missing', async t => {
	await eventually(async () => client('colombo-vm-1', 'query', 'vms where ready show id'), ({output}) => output.at(-1) === '4 rows');

	await fleet.kill('galle-vm-2');
	const partial = await client('colombo-vm-1', 'query', 'teams show name');
	t.is(partial.exitCode, 5);
	t.regex(partial.errors.join('\n'), /^missing: VM galle-vm-2, /v);
	t.deepEqual(partial.output, ['name', 'agents', 'couriers', '2 rows']);

	await fleet.platformControl({outage: 'refuse'});
	const refused = await client('colombo-vm-1', 'do', 'change sharing set idle_tick_ms 300');
	t.is(refused.exitCode, 1);
	t.regex(refused.errors.join('\n'), /was not written/v);
	const history = await client('colombo-vm-1', 'query', 'config_history');
	t.is(history.exitCode, 5);
	t.regex(history.errors.join('\n'), /^missing: VM platform, /v);
});
