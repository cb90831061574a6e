/** Measures the processor time of one timer tick of a VM that dispatches a pool, at several numbers of configured targets. */
import {ServiceDispatch} from '../../src/runtime/dispatch/service-dispatch.js';
import {fleetConfigSchema} from '../../src/core/config/fleet-config.js';
import {monotonicClock} from '../../src/runtime/monotonic-clock.js';
import {createLog} from '../../src/runtime/observe/log.js';
import {toSeries} from './fit.js';
import {meanUs} from './processor-time.js';
import {sampleDocument} from './sample-documents.js';
import {type Point, type Series} from './types.js';

const TICK_MS = 10;

const tickUs = (targets: number): number => {
	const config = fleetConfigSchema.parse(sampleDocument({
		targets, teams: 100, services: 37, dataCentres: 18,
	}));
	const service = new ServiceDispatch({
		vm: 'vm-0',
		dataCentre: 'dc-0',
		incarnation: '1',
		clock: monotonicClock,
		config: () => config,
		leases: {
			holderOf: () => ({vm: 'vm-0', epoch: 1}), ownEpoch: () => 1, isHeldHere: () => true, onChange: () => undefined,
		},
		links: {
			queue: () => undefined, flush: () => undefined, onFrame: () => undefined,
		},
		aliveVms: () => [],
		fleetSize: () => 1,
		overrides: {},
		policy: 'fleet',
		log: createLog('error', () => undefined, {}),
		service: 'model-0',
		send: () => undefined,
		onEffects: () => undefined,
	});
	return meanUs(300, index => {
		service.tick(index * TICK_MS);
	});
};

/** Measures one tick of one service with an increasing number of targets in the whole fleet. */
export const tickSeries = (): readonly Series[] => [toSeries({
	name: 'service/tick',
	title: 'one timer tick of one dispatched pool',
	variable: 'targets of the fleet',
	unit: 'us',
	points: [100, 1000, 3000, 10_000].map((targets): Point => ({size: targets, value: tickUs(targets)})),
})];
