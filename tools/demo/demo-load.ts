/** The load that the teams of the demo send. */
import {type Fleet} from '../fleet/fleet.js';
import {loadSettingsSchema, type LoadSettings} from '../load/settings.js';
import {LEDGER_SERVICE, MODEL_SERVICE} from './demo-fleet.js';
import {demoTeams} from './teams.js';

const DEADLINE_MS = 5000;
const SEED = 7;

const mix = [
	{
		service: MODEL_SERVICE, kind: 'chat', weight: 5, cost: {min: 8, max: 40},
	},
	{
		service: MODEL_SERVICE, kind: 'completion', weight: 3, cost: {min: 8, max: 40},
	},
	{
		service: LEDGER_SERVICE, kind: 'debit', weight: 2, cost: {min: 0.5, max: 2},
	},
];

/** Builds the load settings for a running fleet and a duration. */
export const demoLoad = (fleet: Fleet, durationMs: number): LoadSettings => {
	const routers = fleet.routers.map(({callers}) => callers);
	return loadSettingsSchema.parse({
		seed: SEED, durationMs, routers,
		targets: fleet.targets.map(({address}) => address),
		teams: demoTeams.map(({name, token, weight, ratePerS, routers: [first, count]}) => ({
			name, token, weight, ratePerS, mix,
			routers: routers.slice(first, first + count),
			concurrency: 200, deadlineMs: DEADLINE_MS, maxRetries: 2,
		})),
	});
};
