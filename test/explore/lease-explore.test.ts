/**
 * Two VMs never hold valid leases of a pool at once, and epochs only grow, in all
 * orders of ticks, frames, losses, restarts and platform answers. For each mechanism
 * the same run without it has to find a violation.
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
	/** What the case depends on. */
	readonly mechanism?: keyof Mechanisms;
};

const cases: readonly Case[] = [
	{title: 'a hand-over with lost frames and lost answers', scenario: handOver, depth: 6},
	{
		title: 'a paused holder', scenario: pausedHolder, depth: 6, mechanism: 'checksAtGrant',
	},
	{
		title: 'two VMs cut off from each other with the platform', scenario: partitionedVms, depth: 8, mechanism: 'watchesRow',
	},
	{
		title: 'a holder by majority against a claimant with the platform', scenario: holderWithoutPlatform, depth: 6, mechanism: 'refusesRivals',
	},
	{
		title: 'a follower that restarts empty', scenario: restartedFollower, depth: 5, mechanism: 'hasQuarantine',
	},
	{
		title: 'frames read after a pause', scenario: delayedFrames, depth: 6, mechanism: 'usesEcho',
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
