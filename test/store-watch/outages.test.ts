import test from 'ava';
import {planExchange} from '../../src/core/placement/exchange-plan.js';
import {runOutageModel, type Fleet} from './_outage-model.js';

type Case = {readonly title: string; readonly seeds: number; readonly fleet: Fleet};

const smallFleet: Fleet = {
	leastVms: 1, mostVms: 16, contactMs: 3000, boundMs: 2000, reportIntervalMs: 200, peersPerReport: 16,
};
const largeFleet: Fleet = {
	leastVms: 17, mostVms: 76, contactMs: 4000, boundMs: 3000, reportIntervalMs: 400, peersPerReport: 8,
};

/** A change each 7 s on average, so that the VMs are at rest before most changes. */
const RARE_CHANGE_CHANCE = 0.0014;

const cases: readonly Case[] = [
	{title: 'in a small fleet', seeds: 300, fleet: smallFleet},
	{title: 'in a small fleet without reports of other VMs', seeds: 300, fleet: {...smallFleet, peersPerReport: 0}},
	{title: 'in a small fleet that reports at the rate of its news', seeds: 120, fleet: {...smallFleet, plan: planExchange(15), changeChance: RARE_CHANGE_CHANCE}},
	{title: 'in a large fleet that reports at the rate of its news', seeds: 160, fleet: {...largeFleet, plan: planExchange(75), changeChance: RARE_CHANGE_CHANCE}},
	{title: 'in a large fleet, most of whose calls wait long', seeds: 240, fleet: largeFleet},
];

for (const {title, seeds, fleet} of cases) {
	test(`configurations and departures are known in time around outages, silent connections, refusals and pauses, ${title}`, t => {
		for (let seed = 1; seed <= seeds; seed++) {
			const {configLateMs, departureLateMs} = runOutageModel(seed, fleet);
			t.true(configLateMs <= 0, `seed ${seed}: configuration ${configLateMs} ms late`);
			t.true(departureLateMs <= 0, `seed ${seed}: departure ${departureLateMs} ms late`);
		}
	});
}
