/** The fleet of the demo: a model service and a ledger service in three data centres. */
import {type DataCentreSpec, type FleetSpec} from '../fleet/types.js';
import {demoTeams} from './teams.js';

export const MODEL_SERVICE = 'tariff';
export const LEDGER_SERVICE = 'ledger';
/** The data centre that the demo takes out of service and brings back. */
export const OUTAGE_DATA_CENTRE = 'kalutara';
/** Concurrent requests that a warm target of the model service sustains. */
export const MODEL_SLOTS = 8;

const COLD_LIMIT = 2;
const STEP_MS = 40;
const LEDGER_SLOTS = 8;

const dataCentre = (name: string, routers: number): DataCentreSpec => ({
	name, routers,
	targets: [
		{
			service: MODEL_SERVICE, count: 2,
			settings: {cold_limit: COLD_LIMIT, max_running: MODEL_SLOTS, step_ms: STEP_MS},
			contract: {coldLimit: COLD_LIMIT, warmLimit: MODEL_SLOTS},
		},
		{
			service: LEDGER_SERVICE, count: 1,
			settings: {cold_limit: COLD_LIMIT, max_running: LEDGER_SLOTS},
			contract: {coldLimit: COLD_LIMIT, warmLimit: LEDGER_SLOTS},
		},
	],
});

export const demoFleet: FleetSpec = {
	dataCentres: [dataCentre('colombo', 2), dataCentre('gampaha', 2), dataCentre(OUTAGE_DATA_CENTRE, 3)],
	services: [
		{name: MODEL_SERVICE, standin: 'engine', config: {kind: 'model', initialCost: 20, maxCost: 60}},
		{
			name: LEDGER_SERVICE, standin: 'ledger', config: {
				kind: 'plain', repeat: 'never', initialCost: 1, maxCost: 4,
			},
		},
	],
	teams: demoTeams,
	proxies: {control: true, platform: true},
	routerSettings: {log: {level: 'warn'}},
};
