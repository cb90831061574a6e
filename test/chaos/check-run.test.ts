/** Guards against a checker of chaos runs that misses a broken promise in the records, or reports one that was kept. */
import test from 'ava';
import {knownEverywhereMs} from '../../tools/chaos/late-starts.js';
import {checkRun} from '../../tools/chaos/check-run.js';
import {planSchedule} from '../../tools/chaos/plan-schedule.js';
import {type History, type RunEvidence} from '../../tools/chaos/types.js';
import {Tally} from '../../tools/load/tally.js';
import {compareRecords, type TargetRecord, type RequestExecution} from '../../tools/load/target-records.js';
import {type RequestResult, type TimedAttempt} from '../../tools/load/types.js';

const answered: TimedAttempt = {
	kind: 'answered', requestId: 'r1', cost: 1, startMs: 1000, endMs: 1100,
};

const resultOf = (last: TimedAttempt): RequestResult => ({
	plan: {
		team: 'couriers', service: 'ledger', kind: 'debit', nonce: 'n1', method: 'POST', path: '/', body: undefined, headers: {},
		streamed: false, wanted: {nonce: 'n1', tokens: 0}, deadlineMs: 1000, cost: 1,
	},
	attempts: [last], last, startMs: last.startMs, endMs: last.endMs,
});

const run: RequestExecution = {
	request_id: 'r1', business_id: 'n1', team: 'couriers', instance: 'i1', start_ms: 1000, end_ms: 1100, cost: 1, outcome: 'answered',
};

const record: TargetRecord = {
	instance: 'i1', cold: false, cold_violations: 0, cold_violations_unwarned: 0, falls: 0, overloads: 0, dropped: 0, runs: [run],
};

type Changes = {
	readonly last?: TimedAttempt;
	readonly record?: Partial<TargetRecord>;
	readonly history?: Partial<History>;
	readonly samples?: RunEvidence['samples'];
	readonly lastVersions?: readonly number[];
};

const evidence = (changes: Changes): RunEvidence => {
	const results = [resultOf(changes.last ?? answered)];
	const records = new Map([['1.2.3.4:5', {...record, ...changes.record}]]);
	return {
		result: {
			results, records, tallies: new Map(), total: new Tally(), elapsedMs: 0, comparison: compareRecords([...records.values()], results),
		},
		history: {
			absences: [], unreachable: [], kills: [], stopCodes: [0], acceptedVersion: 2, ...changes.history,
		},
		samples: changes.samples ?? [],
		targetIds: new Map([['1.2.3.4:5', 'ledger-1']]),
		lastVersions: changes.lastVersions ?? [2, 3],
	};
};

const brokenPromises = (changes: Changes): readonly string[] => checkRun(evidence(changes)).filter(({holds}) => !holds).map(({promise}) => promise);

const sample = (pid: number, version: number) => ({
	vm: 'vm-1', pid, version, atMs: 0,
});
const failedAttempt = (kind: 'broken' | 'lost' | 'crossed'): TimedAttempt => ({...answered, kind, detail: ''});
const absence = {fromMs: 0, toMs: 8000, targets: ['ledger-1']};
const lateRun: RequestExecution = {...run, start_ms: 3500};

const cases: ReadonlyArray<readonly [string, Changes, readonly string[]]> = [
	['records without a broken promise', {}, []],
	['a debit that ran twice', {record: {runs: [run, {...run, request_id: 'r2'}]}}, ['each debit ran at most once']],
	['an answered debit that no target executed', {record: {runs: []}}, ['every answered debit ran']],
	['a refusal with "not run" of a debit that ran', {
		last: {
			kind: 'refused', requestId: 'r1', reason: 'QueueFull', notRun: true, retryAfterMs: 0, startMs: 0, endMs: 1,
		},
	}, ['every "not run" is true']],
	['a response to another request', {last: failedAttempt('crossed')}, ['every response is complete and belongs to its request']],
	['a lost response while a router was killed', {last: failedAttempt('lost'), history: {kills: [1050]}}, ['no response is lost, except for callers whose router was killed']],
	['a broken connection while no router was killed', {last: failedAttempt('broken')}, ['no response is lost, except for callers whose router was killed']],
	['a broken connection while a router was killed', {last: failedAttempt('broken'), history: {kills: [1050]}}, []],
	['a cold target with requests beyond its contract', {record: {cold_violations: 1}}, ['no foreseeable work beyond the contract of a cold target']],
	['a request started at a target that was taken out', {record: {runs: [lateRun]}, history: {absences: [absence]}}, ['no request is started at a target that was taken out']],
	['the same start while the change could not reach every VM', {record: {runs: [lateRun]}, history: {absences: [absence], unreachable: [{fromMs: 100, toMs: 2000}]}}, []],
	['a process that goes back to an older configuration', {samples: [sample(1, 3), sample(1, 2)]}, ['no VM goes back to an older configuration']],
	['an older configuration in a new process of the same VM', {samples: [sample(1, 3), sample(2, 2)]}, []],
	['a VM that has an older configuration at the end', {lastVersions: [2, 1]}, ['the accepted configuration is active at every VM at the end']],
	['a planned stop that ended without an exit code', {history: {stopCodes: [undefined]}}, ['every router that is stopped as planned exits with code 0']],
];

for (const [title, changes, expected] of cases) {
	test(title, t => {
		t.deepEqual(brokenPromises(changes), expected);
	});
}

test('each partition or outage that overlaps the propagation of a change postpones the time at which all VMs must know it', t => {
	t.is(knownEverywhereMs(1000, []), 4000);
	t.is(knownEverywhereMs(1000, [{fromMs: 0, toMs: 900}]), 4000);
	t.is(knownEverywhereMs(1000, [{fromMs: 3000, toMs: 6000}]), 11_000);
	t.is(knownEverywhereMs(1000, [{fromMs: 10_000, toMs: 12_000}, {fromMs: 3000, toMs: 6000}]), 17_000);
	t.is(knownEverywhereMs(1000, [{fromMs: 5000, toMs: 6000}]), 4000);
});

test('the same seed gives the same schedule, and another seed gives another one', t => {
	const locations = {
		routers: ['a', 'b'], targets: ['m', 'l'], models: ['m'], dataCentres: ['x', 'y'],
	};
	t.deepEqual(planSchedule(3, 60_000, locations), planSchedule(3, 60_000, locations));
	t.notDeepEqual(planSchedule(3, 60_000, locations), planSchedule(4, 60_000, locations));
	t.true(planSchedule(3, 60_000, locations).every(({atMs, forMs}) => atMs + forMs <= 57_000));
});
