/** Takes a data centre out of service during the load and brings it back. */
import {setTimeout as delay} from 'node:timers/promises';
import {type Fleet} from '../fleet/fleet.js';
import {OUTAGE_DATA_CENTRE} from './demo-fleet.js';

const OUT_AT_MS = 7000;
const BACK_AT_MS = 13_000;

/** Time in which the data centre was out of service, in milliseconds since the epoch. */
export type Outage = {readonly fromMs: number; readonly toMs: number};

type PrintLine = (line: string) => void;

const setState = async (fleet: Fleet, state: 'in' | 'out', print: PrintLine): Promise<number> => {
	const version = await fleet.setDataCentre(OUTAGE_DATA_CENTRE, state);
	print(`configuration ${version}: ${OUTAGE_DATA_CENTRE} is ${state}`);
	return Date.now();
};

/** Takes the data centre out and brings it back, at fixed times after the start of the load; returns the outage. */
export const takeOutAndBringBack = async (fleet: Fleet, print: PrintLine): Promise<Outage> => {
	await delay(OUT_AT_MS);
	const fromMs = await setState(fleet, 'out', print);
	await delay(BACK_AT_MS - OUT_AT_MS);
	const toMs = await setState(fleet, 'in', print);
	return {fromMs, toMs};
};
