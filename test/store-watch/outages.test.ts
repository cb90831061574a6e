import test from 'ava';
import {runOutageModel} from './_outage-model.js';

const SEEDS = 300;

for (const canGossip of [true, false]) {
	test(`configurations and departures are known in time around outages, silent connections, refusals and pauses, ${canGossip ? 'with' : 'without'} reports of other VMs`, t => {
		for (let seed = 1; seed <= SEEDS; seed++) {
			const {configLateMs, departureLateMs} = runOutageModel(seed, {canGossip});
			t.true(configLateMs <= 0, `seed ${seed}: configuration ${configLateMs} ms late`);
			t.true(departureLateMs <= 0, `seed ${seed}: departure ${departureLateMs} ms late`);
		}
	});
}
