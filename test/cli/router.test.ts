import {writeFile, mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import test, {type ExecutionContext} from 'ava';
import {runRouter, type RouterProcess} from '../../src/cli/router/run.js';
import {checkSettingsFile} from '../../src/cli/check-settings/run.js';

const VALID = '[vm]\nid = "colombo-1"\ndata_centre = "colombo"\n\n[platform]\naddress = "127.0.0.1:9000"\n';
const FAULTY = '[vm]\nid = "colombo-1"\n\n[platfrom]\naddress = "127.0.0.1:9000"\n';

const settingsFile = async (t: ExecutionContext, text: string): Promise<string> => {
	const directory = await mkdtemp(path.join(tmpdir(), 'jackdawwood-'));
	t.teardown(async () => rm(directory, {recursive: true}));
	const file = path.join(directory, 'router.toml');
	await writeFile(file, text);
	return file;
};

/** Creates a router process to which the test sends signals. */
const fakeProcess = (stop: () => Promise<void>) => {
	const events: string[] = [];
	const {promise: started, resolve: markStarted} = Promise.withResolvers<void>();
	const {promise: stopSignal, resolve: signal} = Promise.withResolvers<void>();
	const routerProcess: RouterProcess = {
		async startRouter({vm}) {
			events.push(`started ${vm.id}`);
			markStarted();
			return {
				async stop() {
					events.push('stopping');
					await stop();
					events.push('stopped');
				},
			};
		},
		stopSignal,
		writeError(text) {
			events.push(text);
		},
	};
	return {
		routerProcess, events, started, signal,
	};
};

test('the first signal stops the router gracefully', async t => {
	const {routerProcess, events, started, signal} = fakeProcess(async () => undefined);
	const exit = runRouter(await settingsFile(t, VALID), routerProcess);
	await started;
	signal();
	t.is(await exit, 0);
	t.deepEqual(events, ['started colombo-1', 'stopping', 'stopped']);
});

test('a stop signal that comes while the router starts stops it once it has started', async t => {
	const {routerProcess, events, signal} = fakeProcess(async () => undefined);
	const exit = runRouter(await settingsFile(t, VALID), routerProcess);
	signal();
	t.is(await exit, 0);
	t.deepEqual(events, ['started colombo-1', 'stopping', 'stopped']);
});

test('the router does not start with a settings file that has faults or is missing', async t => {
	const {routerProcess, events} = fakeProcess(async () => undefined);
	t.is(await runRouter(await settingsFile(t, FAULTY), routerProcess), 3);
	t.is(await runRouter('no-such-file.toml', routerProcess), 3);
	t.false(events.some(event => event.startsWith('started')));
	t.regex(events.join('\n'), /platfrom is not a setting/v);
});

test('a failure at the start of the router gives the exit code of internal errors', async t => {
	const {routerProcess} = fakeProcess(async () => undefined);
	const failing: RouterProcess = {
		...routerProcess,
		async startRouter() {
			throw new RangeError('address in use');
		},
	};
	t.is(await runRouter(await settingsFile(t, VALID), failing), 70);
});

test('check-settings accepts a valid file and lists the faults of an invalid one', async t => {
	const output: string[] = [];
	const io = {
		env: {},
		async * lines() {
			yield * [];
		},
		isTerminal: true,
		write(text: string) {
			output.push(text);
		},
		writeError: () => undefined,
		createOperationId: () => '',
	};
	t.is(await checkSettingsFile(await settingsFile(t, VALID), {json: false}, io), 0);
	t.is(await checkSettingsFile(await settingsFile(t, FAULTY), {json: true}, io), 3);
	t.regex(output[0] ?? '', /: no faults\n$/v);
	t.like(JSON.parse(output[1] ?? ''), {faults: [{name: 'SettingsMissingKey', line: 1, key: 'vm.data_centre'}, {key: 'platform'}, {key: 'platfrom', hint: 'Did you mean platform?'}]});
});
