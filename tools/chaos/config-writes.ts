/** Changes of the configuration that go on until they are accepted. */
import {setTimeout as delay} from 'node:timers/promises';
import {type Fleet} from '../fleet/fleet.js';
import {type ConfigChange} from '../fleet/types.js';

const RETRY_DELAY_MS = 100;

/** Writes a change that may be repeated; other writers and outages make it try again. */
export const writeUntilAccepted = async (fleet: Fleet, change: ConfigChange): Promise<number> => {
	while (true) {
		try {
			return await fleet.changeConfig(change); // eslint-disable-line no-await-in-loop
		} catch {
			await delay(RETRY_DELAY_MS); // eslint-disable-line no-await-in-loop
		}
	}
};

export const targetState = (id: string, state: 'in' | 'draining'): ConfigChange => document => {
	const target = document.targets[id];
	return {...document, targets: {...document.targets, ...(target && {[id]: {...target, state}})}};
};

export const dataCentreState = (name: string, state: 'in' | 'out'): ConfigChange => document => ({
	...document, dataCentres: {...document.dataCentres, [name]: {...document.dataCentres[name], state}},
});

/** A change that alters no decision much: the weight of one team. */
export const teamWeight = (name: string, weight: number): ConfigChange => document => {
	const team = document.teams[name];
	return {...document, teams: {...document.teams, ...(team && {[name]: {...team, weight}})}};
};
