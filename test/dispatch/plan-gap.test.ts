import test from 'ava';
import {type Report} from '../../src/core/dispatch/messages.js';
import {fleetConfigSchema} from '../../src/core/config/fleet-config.js';
import {ServiceDispatch} from '../../src/runtime/dispatch/service-dispatch.js';
import {createLog} from '../../src/runtime/observe/log.js';

const reportOf = (index: number, seq: number): Report => ({
	service: 'tariff', dataCentre: 'colombo', member: `vm-${index}`, incarnation: '1/1', seq, epoch: 1n, dispatcher: 'vm-0',
	teams: [], targets: [], urgent: false, leaving: false,
});

/** Returns a dispatcher whose members have joined, and the members to which it has replied since. */
const startPool = (members: number) => {
	const config = fleetConfigSchema.parse({
		version: 1,
		services: {tariff: {kind: 'model'}},
		dataCentres: {colombo: {}},
		targets: {'tariff-1': {service: 'tariff', dataCentre: 'colombo', address: '127.0.0.1:9001'}},
	});
	let answered: string[] = [];
	const dispatch = new ServiceDispatch({
		vm: 'vm-0', dataCentre: 'colombo', incarnation: '1', service: 'tariff', policy: 'fleet',
		clock: {nowMs: () => 0},
		config: () => config,
		leases: {
			holderOf: () => ({vm: 'vm-0', epoch: 1}), ownEpoch: () => 1, isHeldHere: () => true, onChange: () => undefined,
		},
		links: {queue: () => undefined, flush: () => undefined, onFrame: () => undefined},
		aliveVms: () => [],
		fleetSize: () => 1,
		overrides: {},
		log: createLog('error', () => undefined, {}),
		send(vm) {
			answered.push(vm);
		},
		onEffects: () => undefined,
	});
	dispatch.tick(0);
	for (let index = 1; index <= members; index++) {
		dispatch.onReport(reportOf(index, 1), 10 * index);
	}

	dispatch.tick(1000);
	answered = [];
	return {dispatch, answered: () => answered};
};

test('a dispatcher with few members replies to each report at once', t => {
	const {dispatch, answered} = startPool(6);
	dispatch.onReport(reportOf(1, 2), 1020);
	dispatch.onReport(reportOf(2, 2), 1021);
	t.deepEqual(answered(), ['vm-1', 'vm-2']);
});

test('a dispatcher with many members replies to reports that arrive close together with allotments of one plan', t => {
	const {dispatch, answered} = startPool(40);
	dispatch.onReport(reportOf(1, 2), 1020);
	dispatch.onReport(reportOf(2, 2), 1021);
	dispatch.onReport(reportOf(3, 2), 1022);
	t.deepEqual(answered(), ['vm-1']);
	dispatch.tick(1030);
	t.deepEqual(answered(), ['vm-1', 'vm-2', 'vm-3']);
});
