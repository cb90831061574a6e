/**
 * The load of the day on which too little was served in a large fleet of small VMs (issue 57),
 * as the logs of a play at a reduced scale show it: 17 VMs of 0.12 of a processor in three data
 * centres, and one team that from the eighth second on sends half of all requests, through
 * callers that three VMs serve.
 */
import {
	playChargedFleet, type CallerSpec, type ChargedFigures, type ChargedFleet, type RequestKind,
} from './_charged-fleet.js';
import {type WorkCosts} from './_work-costs.js';

const DURATION_MS = 34_000;
const FLOOD_FROM_MS = 8000;
const VMS = 17;

/** Requests of the model service and of the plain one. Source: the description of the deployment. */
const MODEL_KINDS: readonly RequestKind[] = [
	{
		weight: 834, targetLatencyMs: 1000, timeLimitMs: 12_000, worth: 5.5, lateWorth: 0.55, events: 42, sharedTokens: 5380, ownTokens: 6610,
	},
	{
		weight: 1427, targetLatencyMs: 1000, timeLimitMs: 10_000, worth: 1, lateWorth: 0.1, events: 32, sharedTokens: 200, ownTokens: 630,
	},
	{
		weight: 1295, targetLatencyMs: 1500, timeLimitMs: 3000, worth: 0.4, lateWorth: 0.04, events: 3, sharedTokens: 570, ownTokens: 1800,
	},
];
const PLAIN_KINDS: readonly RequestKind[] = [
	{
		weight: 1, targetLatencyMs: 300, timeLimitMs: 3000, worth: 1, lateWorth: 0.1, events: 0, sharedTokens: 0, ownTokens: 0,
	},
];

const constant = (perS: number) => () => perS;

/** VMs of each data centre. */
const ZONES = [[0, 1, 2, 3, 4, 5], [6, 7, 8, 9, 10, 11], [12, 13, 14, 15, 16]] as const;
const [FLOODED, SECOND] = ZONES;

/** VMs of a data centre in the order of a hash of a caller. */
const orderFrom = (zone: readonly number[], first: number): CallerSpec['vms'] => [zone[first] ?? 0, ...zone.slice(first + 1), ...zone.slice(0, first)];

/** Callers that are spread over all VMs evenly. */
const everywhere = (kinds: readonly RequestKind[], perS: number, teamOf: (vm: number) => string): readonly CallerSpec[] =>
	ZONES.flatMap(zone => zone.map((vm, index) => ({
		team: teamOf(vm), vms: orderFrom(zone, index), kinds, perS: constant(perS / VMS),
	})));

/** Callers by team with the requests a second that the logs of the play show. All callers of the flooding team are sent to one VM. */
const callers: readonly CallerSpec[] = [
	{
		team: 'flood', vms: orderFrom(FLOODED, 2), kinds: MODEL_KINDS, perS: nowMs => nowMs < FLOOD_FROM_MS ? 6 : 76,
	},
	{
		team: 'second', vms: orderFrom(SECOND, 0), kinds: MODEL_KINDS, perS: constant(12),
	},
	{
		team: 'third', vms: orderFrom(FLOODED, 0), kinds: MODEL_KINDS, perS: constant(7.6),
	},
	...everywhere(PLAIN_KINDS, 15.5, () => 'open'),
	...everywhere(MODEL_KINDS, 27, vm => `wide-${vm % 8}`),
];

/** Plays the day. */
export const playShortDay = (seed: number, costs: WorkCosts, changes: Partial<ChargedFleet> = {}): ChargedFigures => playChargedFleet({
	seed, vms: VMS, processorShare: 0.12, costs, engines: 13, plainTargets: 3, durationMs: DURATION_MS, callers, ...changes,
});
