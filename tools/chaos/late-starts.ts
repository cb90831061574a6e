/** Finds requests that a target started after it had been taken out. */
import {type Interval} from '../load/intervals.js';
import {type LoadResult} from '../load/run-load.js';
import {type RunEvidence} from './types.js';

/** Time after a change is accepted within which all reachable VMs must have received it. */
export const PROPAGATION_MS = 3000;
/** Time after a partition or an outage within which every VM must have the newest configuration. */
export const RECOVERY_MS = 5000;

/** Returns the time from which all VMs must know of a change that was accepted at `acceptedMs`. `unreachable` lists the intervals in which changes could not reach every VM. */
export const knownEverywhereMs = (acceptedMs: number, unreachable: readonly Interval[]): number => {
	let knownMs = acceptedMs + PROPAGATION_MS;
	for (const {fromMs, toMs} of unreachable.toSorted((a, b) => a.fromMs - b.fromMs)) {
		if (fromMs <= knownMs && toMs + RECOVERY_MS > knownMs && toMs > acceptedMs) {
			knownMs = toMs + RECOVERY_MS;
		}
	}

	return knownMs;
};

const runsAtTargets = (result: LoadResult, targetIds: RunEvidence['targetIds'], ids: readonly string[]) =>
	[...result.records].filter(([address]) => ids.includes(targetIds.get(address) ?? ''))
		.flatMap(([address, {runs}]) => runs.map(run => ({...run, target: targetIds.get(address) ?? address})));

/** Describes, in one line each, the requests that a target started although all VMs had to know that it was taken out. */
export const lateStarts = ({result, history, targetIds}: RunEvidence): readonly string[] => history.absences.flatMap(({fromMs, toMs, targets}) => {
	const knownMs = knownEverywhereMs(fromMs, history.unreachable);
	return runsAtTargets(result, targetIds, targets)
		.filter(run => run.start_ms > knownMs && run.start_ms < toMs)
		.map(run => `${run.target} started ${run.request_id} ${run.start_ms - fromMs} ms after it was taken out`);
});
