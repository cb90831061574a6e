import {type FleetConfig, type TargetConfig} from '../../core/config/fleet-config.js';

/** Whether the configuration allows new requests to the target: neither it nor its data centre is taken out of service. */
export const isTargetInService = (config: FleetConfig, target: TargetConfig): boolean =>
	target.state === 'in' && config.dataCentres[target.dataCentre]?.state !== 'out';
