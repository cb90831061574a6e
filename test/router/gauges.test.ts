import test from 'ava';
import {createMetrics} from '../../src/runtime/observe/metrics.js';
import {setGauges} from '../../src/runtime/router/gauges.js';

test('gauges tell shares, limits, leases and control traffic of the VM', async t => {
	const metrics = createMetrics();
	setGauges(metrics, {
		links: {
			stats: () => ({
				bytesSent: 100, bytesReceived: 200, framesSent: 3, framesReceived: 4,
			}),
		},
		dispatch: {
			rows: table => table === 'teams'
				? [{name: 'couriers', service: 'tariff', charged: 30}, {name: 'agents', service: 'tariff', charged: 10}, {name: 'agents', behind: 5}]
				: [{name: 'tariff-1', limit: 8}, {name: 'tariff-2', running: 1}],
		},
		leases: {ownEpoch: service => service === 'tariff' ? 3 : undefined},
		services: () => ['tariff', 'ledger'],
	});
	const page = await metrics.registry.metrics();
	t.snapshot(page.split('\n').filter(line => /^jackdawwood_(?:team_share|target_limit|leases_held|control)/v.test(line)));
});

test('the limit gauge of a target that this VM no longer dispatches to is removed', async t => {
	const metrics = createMetrics();
	const sources = {
		links: {
			stats: () => ({
				bytesSent: 0, bytesReceived: 0, framesSent: 0, framesReceived: 0,
			}),
		},
		leases: {ownEpoch: () => undefined},
		services: () => [],
	};
	setGauges(metrics, {...sources, dispatch: {rows: table => table === 'targets' ? [{name: 'tariff-1', limit: 8}] : []}});
	setGauges(metrics, {...sources, dispatch: {rows: () => []}});
	const page = await metrics.registry.metrics();
	t.false(page.includes('tariff-1'));
});
