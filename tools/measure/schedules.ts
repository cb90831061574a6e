/** Schedules of the faults that experiments inject while the load runs. */
import {setTimeout as delay} from 'node:timers/promises';
import {type Fleet} from '../fleet/fleet.js';
import {type Absence, type FaultHistory, type Schedule} from './types.js';

const noAbsences: FaultHistory = {absences: [], partitions: []};
/** Time within which a stopped router must finish its queued requests before it is killed. */
const STOP_TIMEOUT_MS = 45_000;
/** Time after the end of a partition within which shares must be fair again. */
const SETTLE_MS = 10_000;

const targetsIn = (fleet: Fleet, dataCentre: string): readonly string[] =>
	fleet.targets.filter(target => target.dataCentre === dataCentre).map(({id}) => id);

/** Takes a data centre out of service and brings it back after `outMs`. */
export const takeOutDataCentre = (dataCentre: string, afterMs: number, outMs: number): Schedule => async (fleet, say) => {
	await delay(afterMs);
	await fleet.setDataCentre(dataCentre, 'out');
	const fromMs = Date.now();
	say(`${dataCentre} is out of service`);
	await delay(outMs);
	await fleet.setDataCentre(dataCentre, 'in');
	say(`${dataCentre} is back in service`);
	return {absences: [{fromMs, toMs: Date.now(), targets: targetsIn(fleet, dataCentre)}], partitions: []};
};

/** Partitions a data centre from the others and from the platform. */
export const partitionDataCentre = (dataCentre: string, afterMs: number, partitionMs: number): Schedule => async (fleet, say) => {
	await delay(afterMs);
	const inside = fleet.routersIn(dataCentre);
	const outside = fleet.routers.map(({id}) => id).filter(id => !inside.includes(id));
	const links = [...fleet.linksBetween(inside, outside), ...fleet.platformLinks(inside)];
	await fleet.setLinkFaults(links, {cut: true});
	const fromMs = Date.now();
	say(`${dataCentre} is partitioned from the others and the platform`);
	await delay(partitionMs);
	await fleet.setLinkFaults(links);
	say(`${dataCentre} rejoins`);
	return {absences: [], partitions: [{fromMs, toMs: Date.now() + SETTLE_MS}]};
};

/** Restarts one target of the first target's service after another without notice, so that it is cold. */
export const restartTargetsCold = (everyMs: number, times: number): Schedule => async (fleet, say) => {
	const targets = fleet.targets.filter(({service}) => service === fleet.targets[0]?.service);
	for (let index = 0; index < times; index++) {
		const target = targets[index % targets.length]!;
		await delay(everyMs); // eslint-disable-line no-await-in-loop
		await fleet.targetControl(target.id, {restart: true}); // eslint-disable-line no-await-in-loop
		say(`${target.id} restarted cold`);
	}

	return noAbsences;
};

/** Kills one router after another and restarts each without its state. */
export const restartRouters = (everyMs: number, times: number): Schedule => async (fleet, say) => {
	for (let index = 0; index < times; index++) {
		const router = fleet.routers[(index * 2) % fleet.routers.length]!;
		await delay(everyMs); // eslint-disable-line no-await-in-loop
		await fleet.restart(router.id); // eslint-disable-line no-await-in-loop
		say(`${router.id} restarted without its state`);
	}

	return noAbsences;
};

/** Makes the platform hang, then respond slowly. */
export const platformOutage = (afterMs: number, downMs: number, slowMs: number): Schedule => async (fleet, say) => {
	await delay(afterMs);
	await fleet.platformControl({outage: 'hang'});
	say('the platform does not respond');
	await delay(downMs);
	await fleet.platformControl({outage: 'none', slowMs: 500});
	say('the platform responds slowly');
	await delay(slowMs);
	await fleet.platformControl({slowMs: 0});
	return noAbsences;
};

/** Repeatedly drains a target while a router is stopped as planned and started again. */
export const churn = (everyMs: number, rounds: number): Schedule => async (fleet, say) => {
	const absences: Absence[] = [];
	const setState = async (id: string, state: 'in' | 'draining') => fleet.changeConfig(document => {
		const target = document.targets[id];
		return {...document, targets: {...document.targets, ...(target && {[id]: {...target, state}})}};
	});

	for (let round = 0; round < rounds; round++) {
		const target = fleet.targets[(round * 2) % fleet.targets.length]!;
		const router = fleet.routers[(round * 3) % fleet.routers.length]!;
		/* eslint-disable no-await-in-loop */
		await setState(target.id, 'draining');
		const fromMs = Date.now();
		say(`${target.id} is draining, ${router.id} is being replaced`);
		const code = await fleet.stop(router.id, STOP_TIMEOUT_MS);
		say(`${router.id} exited with ${code ?? 'a signal'}`);
		await fleet.platform.putVms([router]);
		await fleet.startRouter(router.id);
		await delay(everyMs);
		await setState(target.id, 'in');
		/* eslint-enable no-await-in-loop */
		absences.push({fromMs, toMs: Date.now(), targets: [target.id]});
	}

	return {absences, partitions: []};
};
