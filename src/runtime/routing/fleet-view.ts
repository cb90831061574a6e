/** What this VM believes of the fleet: configuration, targets, data centres that are out. */
import {createRouteTable, type RouteTable} from '../../core/routing/route-table.js';
import {type FleetUpdate, type RoutingConfig, type TargetRecord} from '../../core/routing/types.js';
import {type Log} from '../observe/log.js';

/** A configuration in force, ready for look-ups. */
export type ConfigInForce = {
	readonly config: RoutingConfig;
	readonly routes: RouteTable;
};

export type FleetView = {
	readonly inForce: () => ConfigInForce | undefined;
	readonly targets: () => ReadonlyMap<string, TargetRecord>;
	readonly isOut: (dataCentre: string) => boolean;
	readonly outNames: () => ReadonlySet<string>;
	/** True once there is a configuration and a list of targets. */
	readonly isComplete: () => boolean;
	/** Takes in news; returns what changed for the placement, which is the news itself or the targets that went. */
	readonly apply: (news: FleetUpdate) => readonly FleetUpdate[];
};

export const createFleetView = (log: Log): FleetView => {
	let inForce: ConfigInForce | undefined;
	let out: ReadonlySet<string> = new Set();
	let hasTargets = false;
	const targets = new Map<string, TargetRecord>();

	const onConfig = (config: RoutingConfig): readonly FleetUpdate[] => {
		if (inForce && config.version <= inForce.config.version) {
			log.warn('older configuration ignored', {version: config.version, in_force: inForce.config.version});
			return [];
		}

		inForce = {config, routes: createRouteTable(config.routes)};
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
		inForce: () => inForce,
		targets: () => targets,
		isOut: dataCentre => out.has(dataCentre),
		outNames: () => out,
		isComplete: () => inForce !== undefined && hasTargets,
		apply(news) {
			switch (news.kind) {
				case 'config': {
					return onConfig(news.config);
				}

				case 'all-targets': {
					hasTargets = true;
					const named = new Set(news.targets.map(({id}) => id));
					const gone = [...targets.keys()].filter(id => !named.has(id));
					return [...gone.flatMap(id => onGone(id)), ...news.targets.flatMap(target => onTarget(target))];
				}

				case 'target': {
					return onTarget(news.target);
				}

				case 'target-gone': {
					return onGone(news.id);
				}

				case 'targets-current': {
					return [news];
				}

				case 'data-centres-out': {
					log.info('data centres out', {names: [...news.names].join(',')});
					out = news.names;
					return [news];
				}

				case 'rollout-order': {
					return [news];
				}

				case 'source-lost':
				case 'source-regained': {
					log.warn(news.kind === 'source-lost' ? 'fleet source lost' : 'fleet source regained', {config_version: inForce?.config.version});
					return [];
				}
			}
		},
	};
};
