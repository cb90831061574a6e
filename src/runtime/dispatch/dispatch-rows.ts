/** Builds the rows of the operators' tables from this VM's dispatch state. */
import {type PoolDispatcher} from '../../core/dispatch/pool-dispatcher.js';
import {type DispatchTable, type ServiceScheduler, type TableRow} from './types.js';

/** Returns, in cost units per weight, how far each backlogged team is behind the backlogged team that has been served most. */
const serviceLags = (pool: PoolDispatcher): ReadonlyMap<string, number> => {
	const backlogged = [...pool.demand().keys()];
	const highestTag = Math.max(0, ...backlogged.map(team => pool.shares.tagOf(team)));
	return new Map(backlogged.map(team => [team, highestTag - pool.shares.tagOf(team)]));
};

const teamRows = ({service, dispatcher, member}: ServiceScheduler, nowMs: number): readonly TableRow[] => [
	...(member?.teamStates(nowMs) ?? []).map(state => ({
		name: state.team,
		service,
		backlogged: state.queued > 0,
		queued: state.queued,
		oldest_ms: state.oldestMs,
		running: state.running,
		charged: state.charged,
		answered: state.answered,
	})),
	...(dispatcher ? [...serviceLags(dispatcher)] : []).map(([name, lag]) => ({name, behind: Math.round(lag)})),
];

const serviceRows = ({service, queued, running}: ServiceScheduler): readonly TableRow[] => [{name: service, queued, running}];

const targetRows = ({dispatcher, member}: ServiceScheduler): readonly TableRow[] => [
	...(member?.targetUses() ?? []).map(use => ({
		name: use.target, running: use.running, answered: use.answered, overloaded: use.overloaded, failed: use.failed,
	})),
	...[...dispatcher?.targets.values() ?? []].filter(target => !target.loan).map(({name, slots, limit}) => ({
		name, limit: slots, cold: limit.isCold, instance: limit.instance, ...(limit.isLeaving && {state: 'leaving'}),
	})),
];

const ROWS: Readonly<Record<DispatchTable, (service: ServiceScheduler, nowMs: number) => readonly TableRow[]>> = {
	teams: teamRows, services: serviceRows, targets: targetRows,
};

/** Returns the rows of a table for the services that this VM schedules. */
export const dispatchRows = (table: DispatchTable, services: Iterable<ServiceScheduler>, nowMs: number): readonly TableRow[] =>
	[...services].flatMap(service => ROWS[table](service, nowMs));
