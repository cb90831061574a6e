import {createHash} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import test from 'ava';
import {request} from 'undici';
import {parseSettings} from '../../src/core/settings/parse-settings.js';
import {startRouter} from '../../src/runtime/router/start-router.js';
import {startPlatform} from '../../standins/platform/platform.js';
import {platformSettingsSchema} from '../../standins/platform/settings.js';
import {freeAddresses} from '../../tools/fleet/free-ports.js';
import {runInTest} from '../cli/fake-io.js';

const TOKEN = 'token-of-ruwan';
const READY_MS = 10_000;
const POLL_MS = 50;

const settingsText = (platform: string, [callers = '', control = '', admin = '']: readonly string[]): string => `
[vm]
id = "colombo-1"
data_centre = "colombo"

[listen]
callers = "${callers}"
control = "${control}"
admin = "${admin}"

[platform]
address = "${platform}"

[log]
level = "silent"
`;

const isReady = async (admin: string): Promise<boolean> => {
	const res = await request(`http://${admin}/readyz`);
	await res.body.dump();
	return res.statusCode === 200;
};

test('a fleet without a configuration gets its first operator and then its services by commands alone', async t => {
	const platform = await startPlatform(platformSettingsSchema.parse({}));
	t.teardown(platform.close);
	const addresses = await freeAddresses(3);
	const {settings} = parseSettings(settingsText(platform.address, addresses), 'router.toml');
	const router = await startRouter(settings!);
	t.teardown(router.stop);
	const admin = addresses[2] ?? '';
	t.false(await isReady(admin));

	let operations = 0;
	const run = async (env: Readonly<Record<string, string>>, lines: readonly string[]) => runInTest(['do', '--router', admin], {
		env, piped: lines, createOperationId() {
			operations += 1;
			return `operation-${operations}`;
		},
	});
	const first = await run({}, ['create operator ruwan', `add token ${createHash('sha256').update(TOKEN).digest('hex')} to operator ruwan`]);
	t.deepEqual(first.output.filter(line => line.startsWith('written')), ['written as version 1', 'written as version 2']);

	const stranger = await run({}, ['create team couriers']);
	t.is(stranger.exitCode, 6);

	const fleet = await run({JACKDAWWOOD_TOKEN: TOKEN}, [
		'create data_centre colombo',
		'create service tariff kind model',
		'create target tariff-1 service tariff data_centre colombo address 127.0.0.1:9 cold_limit 1 warm_limit 8',
		'create team couriers weight 2',
	]);
	t.is(fleet.output.at(-1), 'written as version 6');

	const deadline = AbortSignal.timeout(READY_MS);
	while (!await isReady(admin) && !deadline.aborted) { // eslint-disable-line no-await-in-loop
		await delay(POLL_MS); // eslint-disable-line no-await-in-loop
	}

	t.true(await isReady(admin));
});
