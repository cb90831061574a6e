import test from 'ava';
import {type PlacementRequest} from '../../src/core/placement/types.js';
import {FleetLoads} from '../../src/core/placement/fleet-loads.js';
import {RefusalError} from '../../src/core/errors/refusal-error.js';
import {type RoutingConfig} from '../../src/core/routing/types.js';
import {monotonicClock} from '../../src/runtime/monotonic-clock.js';
import {createFleetView} from '../../src/runtime/routing/fleet-view.js';
import {createPlacementScheduler} from '../../src/runtime/routing/placement-scheduler.js';
import {
	bounds, plainService, target,
} from '../placement/_service.js';

const nothing = (): void => undefined;
const log = {
	info: nothing, warn: nothing, error: nothing, routine: nothing, debug: nothing,
};

const config: RoutingConfig = {
	version: 1, routes: [], services: new Map([['ledger', plainService]]), teamsByKey: undefined, limits: {
		headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
	},
};

test('in a large fleet a late request stays queued until its caller disconnects, and is counted by its tier', async t => {
	const view = createFleetView(log);
	const counted: string[] = [];
	const scheduler = createPlacementScheduler({
		vm: 'vm-1', dataCentre: 'dc-a', bounds, clock: monotonicClock, view,
		vms: () => Array.from({length: 58}, (_, index) => `vm-${index + 1}`),
		log, loads: new FleetLoads(), random: () => 0.5, isVmOverloaded: () => false, sendToPeer: nothing,
		countOutcome({service, tier, outcome}) {
			counted.push(`${service} ${tier} ${outcome}`);
		},
	});
	for (const update of [{kind: 'config', config}, {kind: 'all-targets', targets: []}, {kind: 'target', target: target('t1', {service: 'ledger', slots: 1})}] as const) {
		for (const change of view.apply(update)) {
			scheduler.onFleetUpdate(change);
		}
	}

	const arrivedMs = monotonicClock.nowMs();
	const createRequest = (requestId: string, leavesAfterMs: number): PlacementRequest => ({
		requestId, team: 'team', service: 'ledger', estimatedCost: 1, deadlineMs: arrivedMs + 5000, targetLatencyMs: 50, arrivedMs,
		tried: [], isResumed: false, callerLeavesMs: arrivedMs + leavesAfterMs,
	});
	const submit = async (request: PlacementRequest) => {
		const {granted} = scheduler.submit({...request, placement: request});
		return granted;
	};

	// One request runs at the target and one is queued there.
	const first = await submit(createRequest('r1', 5000));
	const second = await submit(createRequest('r2', 5000));
	const disconnected = submit(createRequest('r3', 400)).then(() => 'granted', (error: unknown) => error instanceof RefusalError ? error.data.name : String(error));
	const served = submit(createRequest('r4', 5000));
	t.is(await disconnected, 'DeadlinePassed');
	t.true(monotonicClock.nowMs() - arrivedMs >= 290, 'not refused when its latency target was missed');
	t.deepEqual(scheduler.queuedByTier().get('ledger'), {'in-time': 0, late: 1});
	scheduler.end(first, {kind: 'answered', cost: 0, answerMs: 10});
	scheduler.end(second, {kind: 'answered', cost: 0, answerMs: 10});
	const {target: id} = await served;
	t.is(id, 't1');
	t.deepEqual(counted, ['ledger in-time started', 'ledger in-time started', 'ledger late too-late', 'ledger late started']);
	scheduler.stop();
});
