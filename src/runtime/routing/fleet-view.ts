/** This VM's known state of the fleet: active configuration, targets, and the data centres taken out of service. */
import {createRouteTable, type RouteTable} from '../../core/routing/route-table.js';
import {type FleetUpdate, type RoutingConfig, type TargetRecord} from '../../core/routing/types.js';
import {type Log} from '../observe/log.js';

/** The active configuration with its route table. */
export type ActiveConfig = {
	readonly config: RoutingConfig;
	readonly routes: RouteTable;
};

export type FleetView = {
	readonly activeConfig: () => ActiveConfig | undefined;
	readonly targets: () => ReadonlyMap<string, TargetRecord>;
	readonly isDataCentreOut: (dataCentre: string) => boolean;
	readonly dataCentresOut: () => ReadonlySet<string>;
	/** Whether a configuration and a list of targets have been received. */
	readonly isComplete: () => boolean;
	/** Applies an update; returns the updates that the placement has to apply. A list of all targets becomes one update for each listed target, and one for each known target that is not listed. */
	readonly apply: (update: FleetUpdate) => readonly FleetUpdate[];
};

export const createFleetView = (log: Log): FleetView => {
	let activeConfig: ActiveConfig | undefined;
	let dataCentresOut: ReadonlySet<string> = new Set();
	let hasTargets = false;
	const targets = new Map<string, TargetRecord>();

	const onConfig = (config: RoutingConfig): readonly FleetUpdate[] => {
		if (activeConfig && config.version <= activeConfig.config.version) {
			log.warn('older configuration ignored', {version: config.version, in_force: activeConfig.config.version});
			return [];
		}

		activeConfig = {config, routes: createRouteTable(config.routes)};
		log.info('configuration in force', {version: config.version, routes: config.routes.length, services: config.services.size});
		return [{kind: 'config', config}];
	};

	const onTarget = (target: TargetRecord): readonly FleetUpdate[] => {
		const known = targets.get(target.id);
		targets.set(target.id, target);
		if (known?.isDraining !== target.isDraining || known.bornMs !== target.bornMs || known.address !== target.address || known.version !== target.version) {
			log.info('target state', {
				...(target.version !== undefined && {version: target.version}),
				target: target.id, service: target.service, address: target.address, data_centre: target.dataCentre,
				draining: target.isDraining, cold_ms: target.coldRemainingMs, sequence: target.sequence, known: known !== undefined,
			});
		}

		return [{kind: 'target', target}];
	};

	const onGone = (id: string): readonly FleetUpdate[] => {
		if (!targets.delete(id)) {
			return [];
		}

		log.info('target gone', {target: id});
		return [{kind: 'target-gone', id}];
	};

	return {
		activeConfig: () => activeConfig,
		targets: () => targets,
		isDataCentreOut: dataCentre => dataCentresOut.has(dataCentre),
		dataCentresOut: () => dataCentresOut,
		isComplete: () => activeConfig !== undefined && hasTargets,
		apply(update) {
			switch (update.kind) {
				case 'config': {
					return onConfig(update.config);
				}

				case 'all-targets': {
					hasTargets = true;
					const named = new Set(update.targets.map(({id}) => id));
					const gone = [...targets.keys()].filter(id => !named.has(id));
					return [...gone.flatMap(id => onGone(id)), ...update.targets.flatMap(target => onTarget(target))];
				}

				case 'target': {
					return onTarget(update.target);
				}

				case 'target-gone': {
					return onGone(update.id);
				}

				case 'targets-current': {
					return [update];
				}

				case 'data-centres-out': {
					log.info('data centres out', {names: [...update.names].join(',')});
					dataCentresOut = update.names;
					return [update];
				}

				case 'rollout-order': {
					return [update];
				}

				case 'source-lost':
				case 'source-regained': {
					log.warn(update.kind === 'source-lost' ? 'fleet source lost' : 'fleet source regained', {config_version: activeConfig?.config.version});
					return [];
				}
			}
		},
	};
};
