import {access} from 'node:fs/promises';
import test from 'ava';
import {request} from 'undici';
import {dump} from '../standins/_client.js';
import {isError} from '../../src/core/errors/jackdawwood-error.js';
import {ProcessEnded} from '../../tools/fleet/errors-data.js';
import {startFleet} from '../../tools/fleet/start-fleet.js';
import {type FleetSpec} from '../../tools/fleet/types.js';

/** A fleet without routers, to test the launcher alone. */
const spec: FleetSpec = {
	dataCentres: [{
		name: 'colombo', routers: 0, targets: [{
			service: 'ledger', count: 1, settings: {service_ms: 1, warm_after: 0}, contract: {coldLimit: 2},
		}],
	}],
	services: [{name: 'ledger', standin: 'ledger', config: {kind: 'plain', repeat: 'never'}}],
	teams: [{name: 'couriers', token: 'secret', weight: 2}],
	proxies: {targets: true},
};

test('the launcher writes the configuration, puts targets behind proxy links that can be cut, and stops all processes', async t => {
	const fleet = await startFleet(spec);
	t.teardown(async () => fleet.close());
	const [target] = fleet.targets;
	const row = await request(`http://${fleet.platform.address}/tables/config/rows/current`);
	t.like(await row.body.json(), {
		value: {
			version: 1,
			targets: {'ledger-colombo-1': {address: target!.via, contract: {coldLimit: 2, warmLimit: 8}}},
			teams: {couriers: {weight: 2}},
		},
	});

	const debit = async () => dump(request(`http://${target!.via}/debits`, {method: 'POST', body: JSON.stringify({account: 'a', amount: 1})}));
	await debit();
	await fleet.setLinkFaults(['>ledger-colombo-1'], {cut: true});
	await t.throwsAsync(debit());
	await fleet.setLinkFaults(['>ledger-colombo-1']);
	await debit();

	t.is(await fleet.setDataCentre('colombo', 'out'), 2);
	const {pid} = fleet.process('ledger-colombo-1');
	await fleet.close();
	t.throws(() => process.kill(pid, 0), {code: 'ESRCH'});
	await t.throwsAsync(access(fleet.folder), {code: 'ENOENT'});
});

test('a fleet that cannot start throws an error with the output of the failed process', async t => {
	// AVA does not recognise VError errors as native errors, so `any` is needed.
	const err: unknown = await t.throwsAsync(startFleet({...spec, platform: {no_such_setting: 1}}), {any: true});
	t.true(isError(err, ProcessEnded));
	t.regex(String(err), /noSuchSetting/v);
});
