/**
 * Checks that two VMs never hold valid leases of a pool at once, and that epochs only
 * grow, for all orders of ticks, frames, losses, restarts and platform responses. Each
 * mechanism is also switched off, which must lead to a violation.
 */
import test from 'ava';
import {explore} from '../../src/core/explore/explore.js';
import {createLeaseModel} from './lease-model.js';
import {allMechanisms, type LeaseModelOptions, type Mechanisms} from './lease-model-types.js';
import {
	holderWithoutPlatform, handOver, delayedFrames, pausedHolder, restartedFollower, partitionedVms,
} from './lease-scenarios.js';

type Case = {
	readonly title: string;
	readonly scenario: LeaseModelOptions;
	readonly depth: number;
	/** Mechanism without which the case has a violation. */
	readonly mechanism?: keyof Mechanisms;
};

const cases: readonly Case[] = [
	{title: 'a handover with lost frames and lost platform responses', scenario: handOver, depth: 6},
	{
		title: 'a paused holder', scenario: pausedHolder, depth: 6, mechanism: 'checksAtGrant',
	},
	{
		title: 'two VMs that are partitioned from each other and reach the platform', scenario: partitionedVms, depth: 8, mechanism: 'watchesRow',
	},
	{
		title: 'a holder that a majority confirms without the platform, and a claimant that reaches the platform', scenario: holderWithoutPlatform, depth: 6, mechanism: 'refusesRivals',
	},
	{
		title: 'a follower that loses its state in a restart', scenario: restartedFollower, depth: 5, mechanism: 'hasQuarantine',
	},
	{
		title: 'frames that are received after a pause of the process', scenario: delayedFrames, depth: 6, mechanism: 'usesEcho',
	},
];

for (const {title, scenario, depth, mechanism} of cases) {
	test(`one valid holder: ${title}`, t => {
		const {states, transitions, violation} = explore(createLeaseModel(scenario), depth);
		t.log(`${states} states, ${transitions} transitions to depth ${depth}`);
		t.is(violation, undefined);
	});

	if (mechanism) {
		test(`a violation is found without ${mechanism}: ${title}`, t => {
			const mechanisms = {...allMechanisms, [mechanism]: false};
			const {violation} = explore(createLeaseModel({...scenario, mechanisms}), depth);
			t.regex(violation?.message ?? '', /valid at once|grants under epoch/v);
		});
	}
}
