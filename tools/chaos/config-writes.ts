/** Builds configuration changes and retries them until they are accepted. */
import {setTimeout as delay} from 'node:timers/promises';
import {type Fleet} from '../fleet/fleet.js';
import {type ConfigChange} from '../fleet/types.js';

const RETRY_DELAY_MS = 100;

/** Writes an idempotent change, retries it after conflicts with other writers and outages, and returns the accepted version. */
export const writeUntilAccepted = async (fleet: Fleet, change: ConfigChange): Promise<number> => {
	while (true) {
		try {
			return await fleet.changeConfig(change); // eslint-disable-line no-await-in-loop
		} catch {
			await delay(RETRY_DELAY_MS); // eslint-disable-line no-await-in-loop
		}
	}
};

/** Returns a change that sets the state of a target. */
export const targetState = (id: string, state: 'in' | 'draining'): ConfigChange => document => {
	const target = document.targets[id];
	return {...document, targets: {...document.targets, ...(target && {[id]: {...target, state}})}};
};

/** Returns a change that sets the state of a data centre. */
export const dataCentreState = (name: string, state: 'in' | 'out'): ConfigChange => document => ({
	...document, dataCentres: {...document.dataCentres, [name]: {...document.dataCentres[name], state}},
});

/** Returns a change of one team's weight, which has little effect on dispatch decisions. */
export const teamWeight = (name: string, weight: number): ConfigChange => document => {
	const team = document.teams[name];
	return {...document, teams: {...document.teams, ...(team && {[name]: {...team, weight}})}};
};
