import {type FleetConfig, type TargetConfig} from '../../core/config/fleet-config.js';

/** Tells whether operators let new work go to the target. */
export const isTargetInService = (config: FleetConfig, target: TargetConfig): boolean =>
	target.state === 'in' && config.dataCentres[target.dataCentre]?.state !== 'out';
