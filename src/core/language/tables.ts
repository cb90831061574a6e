/**
 * The tables that queries read: their columns, and how the rows that several VMs report
 * about the same object are merged.
 */
import {type TableName} from './types.js';

export type ColumnType = 'text' | 'number' | 'flag';

/**
 * How the values of several VMs are merged. Rows that are equal in all `key` columns are
 * merged into one. `sum` adds the values, `max` takes the largest, `any` is true when one
 * value is, `first` takes the first value that is present, and `state` takes the first
 * state other than the normal ones, `in` and `live`, else the first.
 */
export type Merge = 'key' | 'sum' | 'max' | 'any' | 'first' | 'state';

export type Column = {
	readonly name: string;
	readonly type: ColumnType;
	readonly merge: Merge;
	readonly description: string;
};

export type Table = {
	readonly description: string;
	readonly columns: readonly Column[];
};

const text = (name: string, description: string, merge: Merge = 'first'): Column => ({
	name, type: 'text', merge, description,
});
const number = (name: string, merge: Merge, description: string): Column => ({
	name, type: 'number', merge, description,
});
const flag = (name: string, description: string): Column => ({
	name, type: 'flag', merge: 'any', description,
});

/** All tables, by their names in queries. */
export const tables: Readonly<Record<TableName, Table>> = {
	teams: {
		description: 'What each team asks for and gets.',
		columns: [
			text('name', 'Team.', 'key'),
			number('weight', 'first', 'Share relative to the other teams.'),
			flag('backlogged', 'True while requests of the team wait.'),
			number('queued', 'sum', 'Requests waiting.'),
			number('oldest_ms', 'max', 'Age of the oldest waiting request.'),
			number('running', 'sum', 'Requests running.'),
			number('charged', 'sum', 'Cost units charged.'),
			number('behind', 'max', 'Cost units per weight by which the most served backlogged team is ahead.'),
			number('answered', 'sum', 'Requests answered.'),
			number('refused', 'sum', 'Requests refused.'),
		],
	},
	services: {
		description: 'Demand and capacity of each service.',
		columns: [
			text('name', 'Service.', 'key'),
			text('kind', 'model or plain.'),
			text('repeat', 'safe, or never for requests that run at most once.'),
			number('queued', 'sum', 'Requests waiting.'),
			number('running', 'sum', 'Requests running.'),
			number('targets', 'first', 'Targets in the configuration.'),
			number('answered', 'sum', 'Requests answered.'),
			number('refused', 'sum', 'Requests refused.'),
		],
	},
	data_centres: {
		description: 'Data centres, in or out of service.',
		columns: [
			text('name', 'Data centre.', 'key'),
			text('state', 'in or out.', 'state'),
			number('vms', 'max', 'Entry VMs alive.'),
			number('targets', 'first', 'Targets in the configuration.'),
			number('queued', 'sum', 'Requests waiting.'),
			number('running', 'sum', 'Requests running.'),
		],
	},
	targets: {
		description: 'Targets and what they bear.',
		columns: [
			text('name', 'Target.', 'key'),
			text('service', 'Service that it runs.'),
			text('data_centre', 'Data centre that it stands in.'),
			text('address', 'IP:PORT.'),
			text('state', 'in, draining or leaving.', 'state'),
			flag('cold', 'True while it has its cold limit.'),
			number('limit', 'max', 'Concurrent requests that it may run now.'),
			number('running', 'sum', 'Requests running.'),
			text('instance', 'Its process, as it names itself.'),
			number('answered', 'sum', 'Requests answered.'),
			number('overloaded', 'sum', 'Requests that it turned away.'),
			number('failed', 'sum', 'Requests that failed.'),
		],
	},
	vms: {
		description: 'Entry VMs.',
		columns: [
			text('id', 'VM.', 'key'),
			text('data_centre', 'Data centre that it stands in.'),
			text('state', 'live, leaving or lost.', 'state'),
			flag('ready', 'True while it takes callers\' requests.'),
			number('config_version', 'max', 'Configuration version in force.'),
			text('incarnation', 'Differs after each restart.'),
			number('uptime_ms', 'max', 'Time since its start.'),
			number('control_bytes', 'max', 'Bytes of control traffic sent and received.'),
		],
	},
	leases: {
		description: 'Which VM dispatches each pool.',
		columns: [
			text('service', 'Service of the pool.', 'key'),
			text('data_centre', 'Data centre of the pool.', 'key'),
			text('holder', 'VM that holds the lease.'),
			number('epoch', 'max', 'Grows with each holder; the fencing number.'),
		],
	},
	requests: {
		description: 'Requests open now.',
		columns: [
			text('id', 'Request.', 'key'),
			text('team', 'Team.'),
			text('service', 'Service.'),
			text('state', 'claiming, queued, granted, sent or ended.'),
			text('vm', 'Entry VM.'),
			text('target', 'Target that runs it.'),
			number('age_ms', 'max', 'Time since its arrival.'),
			number('attempts', 'max', 'Targets tried.'),
		],
	},
	refusals: {
		description: 'Refusals by reason.',
		columns: [
			text('reason', 'Name of the refusal.', 'key'),
			text('team', 'Team.', 'key'),
			text('service', 'Service.', 'key'),
			flag('not_run', 'True when no target had started the requests.'),
			number('count', 'sum', 'Requests refused since the VMs started.'),
		],
	},
	config_history: {
		description: 'Versions of the fleet configuration.',
		columns: [
			number('version', 'key', 'Version.'),
			text('operator', 'Operator who wrote it.'),
			text('operation_id', 'Operation that wrote it.'),
		],
	},
};
