/** Definitions of the experiments: load, faults and duration. */
import {lastDataCentre} from './fleets.js';
import {
	churn, partitionDataCentre, platformOutage, restartRouters, restartTargetsCold, takeOutDataCentre,
} from './schedules.js';
import {
	backlogged, backloggedOnTwoRouters, modelOnlyMix, makeTeams,
} from './teams.js';
import {type Experiment, type SizeName} from './types.js';

/** Concurrency of a team whose demand is twenty times its fair share. */
const FLOOD_CONCURRENCY = 300;

/** Returns all experiments for a fleet of the given size. */
export const experimentsFor = (size: SizeName): readonly Experiment[] => [
	{
		name: 'steady', description: 'All teams have queued requests all the time, spread unevenly over the routers.', durationMs: 20_000,
		teams: backlogged,
	},
	{
		name: 'flood', description: 'The demand of one team is twenty times its fair share.', durationMs: 20_000,
		teams: routers => backlogged(routers).map((team, index) => index === 15 ? {...team, concurrency: FLOOD_CONCURRENCY, routers: Array.from({length: routers}, (_, router) => router)} : team),
	},
	{
		name: 'skew', description: 'Each team sends its requests to one router only.', durationMs: 20_000,
		teams: routers => makeTeams(index => ({routers: [index % routers]})),
	},
	{
		name: 'heavy-tail', description: 'Request costs span three decades; cost hints are wrong by a factor of up to eight.', durationMs: 40_000, stepMs: 4,
		teams: routers => backlogged(routers).map(team => ({
			...team,
			hintError: 8,
			mix: modelOnlyMix.map(mix => ({...mix, cost: {distribution: 'log_uniform', min: 1, max: 1000}})),
		})),
	},
	{
		name: 'cold-return', description: 'Targets restart cold without warning.', durationMs: 25_000,
		teams: backlogged, schedule: restartTargetsCold(5000, 3),
	},
	{
		name: 'data-centre-leaves', description: 'A data centre is taken out of service and brought back during the load.', durationMs: 30_000,
		teams: backlogged, schedule: takeOutDataCentre(lastDataCentre(size), 8000, 10_000),
	},
	{
		name: 'partition', description: 'A data centre is partitioned from the others and the platform, then rejoins.', durationMs: 40_000, needsProxy: true,
		teams: backlogged, schedule: partitionDataCentre(lastDataCentre(size), 8000, 10_000),
	},
	{
		name: 'router-restart-empty', description: 'Routers are killed and restart without their state.', durationMs: 30_000,
		teams: backloggedOnTwoRouters, schedule: restartRouters(5000, 3),
	},
	{
		name: 'platform-outage', description: 'The platform does not respond for 60 s, then responds slowly.', durationMs: 90_000,
		teams: backlogged, schedule: platformOutage(8000, 60_000, 10_000),
	},
	{
		name: 'churn', description: 'Targets are drained and routers replaced, as planned.', durationMs: 40_000,
		teams: backloggedOnTwoRouters, schedule: churn(2000, 4),
	},
	{
		name: 'unqueued', description: 'Light load of 145 requests per second at each router; measures the control traffic per request.', durationMs: 15_000, stepMs: 5,
		teams: routers => makeTeams(() => ({
			ratePerS: 145 * routers / 16, concurrency: 1000, maxRetries: 0,
			mix: modelOnlyMix.map(mix => ({...mix, cost: {distribution: 'uniform', min: 2, max: 4}})),
		})),
	},
];
