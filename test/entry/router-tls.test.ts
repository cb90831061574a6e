import test from 'ava';
import {Agent, request} from 'undici';
import {startPlatform} from '../../standins/platform/platform.js';
import {platformSettingsSchema} from '../../standins/platform/settings.js';
import {parseSettings} from '../../src/core/settings/parse-settings.js';
import {startRouter} from '../../src/runtime/router/start-router.js';
import {freeAddresses} from '../../tools/fleet/free-ports.js';
import {createCa} from '../link/test-keys.js';

test('a router whose settings enable TLS for callers accepts no connection without TLS', async t => {
	const platform = await startPlatform(platformSettingsSchema.parse({}));
	t.teardown(platform.close);
	const ca = await createCa();
	const {cert, key, ca: caFile} = await ca.issue('vm-1');
	const [callers, control, admin] = await freeAddresses(3);
	const files = `enabled = true\nca = "${caFile}"\ncert = "${cert}"\nkey = "${key}"\n`;
	const parsed = parseSettings(`
[vm]
id = "vm-1"
data_centre = "colombo"
[listen]
callers = "${callers}"
control = "${control}"
admin = "${admin}"
[platform]
address = "${platform.address}"
[log]
level = "silent"
[tls.control]
${files}
[tls.callers]
${files}
`, 'router.toml');
	t.is(parsed.faults, undefined);
	const router = await startRouter(parsed.settings!);
	t.teardown(router.stop);
	const dispatcher = new Agent({connect: {ca: ca.certificate, checkServerIdentity: () => undefined}});
	t.teardown(async () => dispatcher.destroy());
	const res = await request(`https://${callers}/v1/completions`, {dispatcher, method: 'POST', body: '{}'});
	t.is(res.statusCode, 503);
	t.like(await res.body.json(), {error: {name: 'NotReady', not_run: true}});
	await t.throwsAsync(request(`http://${callers}/v1/completions`, {method: 'POST', body: '{}'}));
});
