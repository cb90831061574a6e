/** Builds the rows that one VM contributes to each table of the operators' language. */
import {type Row} from '../../core/language/evaluate-query.js';
import {type TableName} from '../../core/language/types.js';
import {type FleetConfig} from '../../core/config/fleet-config.js';
import {type DispatchTask, type TableRow} from '../dispatch/types.js';
import {type LeaseView} from '../lease/types.js';
import {type MembershipView} from '../membership/types.js';

export type VmTablesOptions = {
	readonly vm: string;
	readonly dataCentre: string;
	readonly incarnation: string;
	readonly config: () => FleetConfig | undefined;
	readonly dispatch: Pick<DispatchTask, 'rows'>;
	readonly leases: LeaseView;
	readonly membership: MembershipView;
	readonly isReady: () => boolean;
	readonly uptimeMs: () => number;
	readonly controlBytes: () => number;
	readonly refusals: () => readonly Row[];
	readonly requests: () => readonly Row[];
};

const targetsWhere = (config: FleetConfig | undefined, isCounted: (target: FleetConfig['targets'][string]) => boolean): number =>
	Object.values(config?.targets ?? {}).filter(target => isCounted(target)).length;

/** Rows that the configuration alone determines, by table. */
const configRows = {
	teams: (config: FleetConfig | undefined) => Object.entries(config?.teams ?? {}).map(([name, {weight}]) => ({name, weight})),
	services: (config: FleetConfig | undefined) => Object.entries(config?.services ?? {}).map(([name, {kind, repeat}]) => ({
		name, kind, repeat, targets: targetsWhere(config, target => target.service === name),
	})),
	data_centres: (config: FleetConfig | undefined) => Object.entries(config?.dataCentres ?? {}).map(([name, {state}]) => ({
		name, state, targets: targetsWhere(config, target => target.dataCentre === name),
	})),
	targets: (config: FleetConfig | undefined) => Object.entries(config?.targets ?? {}).map(([name, {service, dataCentre, address, state}]) => ({
		name, service, data_centre: dataCentre, address, state,
	})),
} as const;

/** Returns a row for each target with this VM's counts of running and answered requests. The row's name is the target's service or data centre. */
const usageBy = (groupField: 'service' | 'dataCentre', {config, dispatch}: VmTablesOptions): readonly Row[] =>
	dispatch.rows('targets').map(({name, running, answered}) => ({name: config()?.targets[String(name)]?.[groupField], running, answered}));

const dataCentreRows = (options: VmTablesOptions): readonly Row[] => [
	...configRows.data_centres(options.config()).map(row => ({...row, vms: options.membership.aliveIn(row.name).length})),
	...options.dispatch.rows('services').map(({queued}) => ({name: options.dataCentre, queued})),
	...usageBy('dataCentre', options),
].filter(({name}) => name !== undefined);

const refusedBy = (column: 'team' | 'service', {refusals}: VmTablesOptions): readonly Row[] =>
	refusals().map(row => ({name: row[column], refused: row.count})).filter(({name}) => name !== undefined);

const serviceRows = (options: VmTablesOptions): readonly Row[] => [
	...options.dispatch.rows('services'),
	...usageBy('service', options).map(({name, answered}) => ({name, answered})).filter(({name}) => name !== undefined),
	...refusedBy('service', options),
	...configRows.services(options.config()),
];

const leaseRows = ({vm, dataCentre, config, leases}: VmTablesOptions): readonly TableRow[] =>
	Object.keys(config()?.services ?? {}).flatMap(service => {
		const epoch = leases.ownEpoch(service);
		return epoch === undefined
			? []
			: [{
				service, data_centre: dataCentre, holder: vm, epoch,
			}];
	});

const vmRow = ({vm, dataCentre, incarnation, config, isReady, uptimeMs, controlBytes}: VmTablesOptions): TableRow => ({
	id: vm,
	data_centre: dataCentre,
	state: 'live',
	ready: isReady(),
	config_version: config()?.version ?? 0,
	incarnation,
	uptime_ms: Math.round(uptimeMs()),
	control_bytes: controlBytes(),
});

/** Returns this VM's rows of a table; none for `config_history`, which is read from the platform instead. */
export const vmRows = (table: TableName, options: VmTablesOptions): readonly Row[] => {
	const {config, dispatch, membership} = options;
	switch (table) {
		case 'services': {
			return serviceRows(options);
		}

		case 'teams': {
			return [...dispatch.rows('teams'), ...refusedBy('team', options), ...configRows.teams(config())];
		}

		case 'targets': {
			// The configuration's rows come last, since the state that dispatch observes has precedence over the configured one.
			return [...dispatch.rows(table), ...configRows[table](config())];
		}

		case 'data_centres': {
			return dataCentreRows(options);
		}

		case 'vms': {
			const others = membership.vms().filter(({id}) => id !== options.vm);
			return [vmRow(options), ...others.map(({id, dataCentre, state}) => ({id, data_centre: dataCentre, state: state === 'alive' ? 'live' : state}))];
		}

		case 'leases': {
			return leaseRows(options);
		}

		case 'requests': {
			return options.requests();
		}

		case 'refusals': {
			return options.refusals();
		}

		case 'config_history': {
			return [];
		}
	}
};
