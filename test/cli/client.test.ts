import test, {type ExecutionContext} from 'ava';
import {TOKEN_VARIABLE} from '../../src/cli/client/access.js';
import {clientHelp, commandHelp} from '../../src/cli/client/help.js';
import {promptHelp} from '../../src/cli/prompt/help.js';
import {routerHelp} from '../../src/cli/router/help.js';
import {startFakeRouter, TOKEN, type FakeOptions} from '../admin/fake-router.js';
import {runInTest, type Outcome} from './fake-io.js';

const env = {[TOKEN_VARIABLE]: TOKEN};

type Run = {
	readonly argv: readonly string[];
	readonly piped?: readonly string[];
	readonly env?: Readonly<Record<string, string>>;
};

/** Runs command lines one after another with one fake router. */
const runAll = async (t: ExecutionContext, runs: readonly Run[], options: FakeOptions = {}): Promise<readonly Outcome[]> => {
	const admin = await startFakeRouter(options);
	t.teardown(admin.close);
	const outcomes: Outcome[] = [];
	let operations = 0;
	const createOperationId = (): string => {
		operations += 1;
		return `operation-${operations}`;
	};

	for (const {argv: [command = '', ...rest], ...terminal} of runs) {
		// eslint-disable-next-line no-await-in-loop -- The command lines build on one another.
		outcomes.push(await runInTest([command, '--router', admin.address, ...rest], {env, createOperationId, ...terminal}));
	}

	return outcomes;
};

test('help texts', t => {
	t.snapshot([clientHelp, routerHelp, promptHelp, ...Object.values(commandHelp)].join('\n---\n'));
});

test('a query prints a table for people and JSON for scripts', async t => {
	t.snapshot(await runAll(t, [
		{argv: ['query', 'teams where backlogged sort by behind desc show name, weight, queued, behind, backlogged, oldest_ms']},
		{argv: ['query', 'leases']},
		{argv: ['query', '--json', 'teams', 'limit', '1', 'show', 'name,', 'queued']},
	]));
});

test('a query that misses a part of the fleet says which and exits with its own code', async t => {
	t.snapshot(await runAll(t, [{argv: ['query', 'leases show holder']}], {missing: [{vm: 'galle-2', reason: 'no answer in time'}]}));
});

test('commands print the difference, dry or written', async t => {
	t.snapshot(await runAll(t, [
		{argv: ['do', '--dry-run', 'change team couriers set weight 3']},
		{argv: ['do', 'change team couriers set weight 3']},
		{argv: ['do', 'change team couriers set weight 3']},
		{argv: ['do', '--json', 'take', 'data_centre', 'galle', 'out']},
		{argv: ['do', 'revert to version 4']},
	]));
});

test('a pipe of commands stops at the first that fails', async t => {
	t.snapshot(await runAll(t, [
		{argv: ['do'], piped: ['# weights', '', 'change team couriers set weight 3', 'change team nobody set weight 3', 'remove team couriers']},
		{argv: ['query'], piped: ['teams where name = couriers show weight', 'config_history show version']},
	]));
});

test('the prompt takes queries and commands and outlives faults', async t => {
	t.snapshot(await runAll(t, [
		{argv: ['prompt'], piped: ['teams whree x', 'drain target tariff-1', 'teams limit 1 show name', 'take data_centre galle out', 'exit', 'remove team couriers']},
	]));
});

test('failures have exit codes of their own', async t => {
	const runs = [
		{argv: ['query', 'teams where wieght > 2']},
		{argv: ['query', '--json', 'teams where wieght > 2']},
		{argv: ['query']},
		{argv: ['query', 'teams'], env: {}},
		{argv: ['query', '--token-file', 'no-such-file', 'teams']},
		{argv: ['hash-token'], piped: []},
	];
	t.snapshot(await runAll(t, runs));
});

test('the loser of a race is shown the winner\'s change and its own operation id', async t => {
	t.snapshot(await runAll(t, [{argv: ['do', 'take data_centre galle out']}], {conflicting: true}));
});

test('an unreachable router has its own exit code', async t => {
	const admin = await startFakeRouter();
	await admin.close();
	const {exitCode, errors} = await runInTest(['query', '--router', admin.address, 'teams'], {env});
	t.is(exitCode, 4);
	t.regex(errors.join('\n'), /no answer from 127\.0\.0\.1:/v);
});

test('hash-token prints the SHA-256 hash that the configuration stores', async t => {
	const {output} = await runInTest(['hash-token'], {piped: ['abc']});
	t.deepEqual(output, ['ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad']);
});
