/** Tests leases and configuration of 7 router processes behind the fault proxy. */
import {setTimeout as delay} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import * as z from 'zod';
import {getText} from '../../tools/fleet/call.js';
import {type Fleet} from '../../tools/fleet/fleet.js';
import {startFleet} from '../../tools/fleet/start-fleet.js';
import {type DataCentreSpec, type FleetSpec} from '../../tools/fleet/types.js';

const service = 'ledger';
const pollIntervalMs = 20;

const dataCentre = (name: string, routers: number): DataCentreSpec => ({
	name, routers, targets: [{service, count: 1, settings: {service_ms: 1, warm_after: 0}}],
});

const spec: FleetSpec = {
	dataCentres: [dataCentre('colombo', 3), dataCentre('galle', 2), dataCentre('negombo', 2)],
	services: [{name: service, standin: 'ledger', config: {kind: 'plain', repeat: 'never'}}],
	teams: [{name: 'couriers', token: 'secret', weight: 1}],
	proxies: {control: true, platform: true},
};

const leaseSchema = z.object({value: z.object({holder: z.string(), epoch: z.number()})});
type Lease = z.output<typeof leaseSchema>['value'];

const leaseOf = async (fleet: Fleet, dataCentreName: string): Promise<Lease> => {
	const text = await getText(`http://${fleet.platform.address}/tables/leases/rows/${service}@${dataCentreName}`);
	return leaseSchema.parse(JSON.parse(text ?? 'null')).value;
};

type Succession = {readonly lease: Lease; readonly tookMs: number};

/** Waits until another VM than the former holder is the holder in the lease row. */
const waitForNewHolder = async (t: ExecutionContext, fleet: Fleet, dataCentreName: string, former: Lease): Promise<Succession> => {
	const startMs = performance.now();
	const deadline = AbortSignal.timeout(15_000);
	while (!deadline.aborted) {
		const lease = await leaseOf(fleet, dataCentreName); // eslint-disable-line no-await-in-loop
		if (lease.holder !== former.holder) {
			t.true(lease.epoch > former.epoch);
			return {lease, tookMs: Math.round(performance.now() - startMs)};
		}

		await delay(pollIntervalMs); // eslint-disable-line no-await-in-loop
	}

	t.fail(`${former.holder} still holds ${dataCentreName}`);
	return {lease: former, tookMs: Number.NaN};
};

const versionAt = async (fleet: Fleet, id: string): Promise<number> =>
	Number(/^\w*config_version\S* (?<version>\d+)/mv.exec(await fleet.metrics(id) ?? '')?.groups?.version ?? 0);

/** Returns the milliseconds until the version is active at all VMs. */
const waitForVersion = async (fleet: Fleet, version: number): Promise<number> => {
	const startMs = performance.now();
	const deadline = AbortSignal.timeout(15_000);
	while (!deadline.aborted) {
		// eslint-disable-next-line no-await-in-loop
		const versions = await Promise.all(fleet.routers.map(async ({id}) => versionAt(fleet, id)));
		if (versions.every(held => held >= version)) {
			break;
		}

		await delay(pollIntervalMs); // eslint-disable-line no-await-in-loop
	}

	return Math.round(performance.now() - startMs);
};

test('leases get new holders after a pause, a kill, a partition and a stop, and configuration versions are active within 5 s', async t => {
	const fleet = await startFleet(spec);
	t.teardown(async () => fleet.close());

	const version = await fleet.changeConfig(document => ({...document, sharing: {...document.sharing, tickMs: 50}}));
	const activeAfterMs = await waitForVersion(fleet, version);
	t.log(`version active at 7 VMs after ${activeAfterMs} ms`);
	t.true(activeAfterMs <= 5000);

	const paused = await leaseOf(fleet, 'colombo');
	fleet.pause(paused.holder);
	const afterPause = await waitForNewHolder(t, fleet, 'colombo', paused);
	t.log(`lease row of a paused holder names a new holder after ${afterPause.tookMs} ms`);
	fleet.resume(paused.holder);
	await delay(2500);
	t.like(await leaseOf(fleet, 'colombo'), {holder: afterPause.lease.holder, epoch: afterPause.lease.epoch});

	const killed = await leaseOf(fleet, 'galle');
	await fleet.kill(killed.holder);
	const afterKill = await waitForNewHolder(t, fleet, 'galle', killed);
	t.log(`lease row of a killed holder of 2 VMs names a new holder after ${afterKill.tookMs} ms`);

	const partitioned = afterPause.lease;
	const others = fleet.routersIn('colombo').filter(id => id !== partitioned.holder);
	await fleet.setLinkFaults(fleet.linksBetween([partitioned.holder], others), {cut: true});
	const afterPartition = await waitForNewHolder(t, fleet, 'colombo', partitioned);
	t.log(`lease row of a holder partitioned from its data centre names a new holder after ${afterPartition.tookMs} ms`);

	const stopped = await leaseOf(fleet, 'negombo');
	const stop = fleet.stop(stopped.holder);
	const afterStop = await waitForNewHolder(t, fleet, 'negombo', stopped);
	t.log(`lease row of a leaving holder names a new holder after ${afterStop.tookMs} ms`);
	t.is(afterStop.lease.epoch, stopped.epoch + 1);
	t.true(afterStop.tookMs <= 1000);
	t.is(await stop, 0);
});
