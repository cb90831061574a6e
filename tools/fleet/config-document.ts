/** Builds the fleet configuration from the description of a fleet. */
import {createHash} from 'node:crypto';
import {fleetConfigSchema, type FleetConfig} from '../../src/core/config/fleet-config.js';
import {type FleetSpec, type TargetInfo} from './types.js';

const tokenHash = (token: string): string => createHash('sha256').update(token).digest('hex');

/** Builds version 1 of the configuration, with the addresses at which routers reach the targets. */
export const initialConfig = (spec: FleetSpec, targets: readonly TargetInfo[]): FleetConfig => fleetConfigSchema.parse({
	version: 1,
	teams: Object.fromEntries(spec.teams.map(({name, token, weight, maxQueued}) =>
		[name, {weight, tokenHashes: [tokenHash(token)], ...(maxQueued !== undefined && {maxQueued})}])),
	operators: Object.fromEntries(Object.entries(spec.operators ?? {}).map(([name, token]) => [name, {tokenHashes: [tokenHash(token)]}])),
	services: Object.fromEntries(spec.services.map(({name, config}) => [name, config])),
	dataCentres: Object.fromEntries(spec.dataCentres.map(({name}) => [name, {}])),
	targets: Object.fromEntries(targets.map(({id, service, dataCentre, via, contract}) => [id, {
		service, dataCentre, address: via, contract,
	}])),
	sharing: spec.sharing ?? {},
});
