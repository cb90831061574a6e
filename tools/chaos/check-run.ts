/** Judges a run by the stand-ins' and callers' records. */
import {type RequestResult} from '../load/types.js';
import {lateStarts} from './late-starts.js';
import {type RunEvidence, type Verdict, type VersionSample} from './types.js';

const MAX_DETAILS = 10;
/** Time between the kill of a router and the caller's notice of its broken connection. */
const KILL_DETECTION_MS = 2000;

const verdict = (promise: string, details: readonly string[]): Verdict => ({
	promise, holds: details.length === 0, details: details.slice(0, MAX_DETAILS),
});

const describe = ({plan, last, startMs, endMs, attempts}: RequestResult): string => {
	const detail = 'detail' in last ? last.detail : '';
	return `${last.kind} ${plan.service} ${plan.kind} ${plan.nonce} ${last.requestId} after ${attempts.length} attempts, ${startMs} to ${endMs}: ${detail}`;
};

/** Whether the router of the last attempt may have been killed during it. */
const routerWasKilled = ({attempts}: RequestResult, kills: readonly number[]): boolean => {
	const attempt = attempts.at(-1);
	return attempt?.kind === 'broken' && kills.some(atMs => atMs >= attempt.startMs && atMs <= attempt.endMs + KILL_DETECTION_MS);
};

const lostResponses = ({result, history}: RunEvidence): readonly string[] => result.results
	.filter(item => ['lost', 'broken', 'unreachable'].includes(item.last.kind) && !routerWasKilled(item, history.kills))
	.map(item => describe(item));

const coldViolations = ({result, targetIds}: RunEvidence): readonly string[] => [...result.records]
	.filter(([, record]) => record.cold_violations > 0)
	.map(([address, record]) => `${targetIds.get(address) ?? address} got ${record.cold_violations} requests too many`);

const wrongResponses = ({result}: RunEvidence): readonly string[] => result.results
	.filter(item => item.attempts.some(({kind}) => kind === 'crossed' || kind === 'doubled'))
	.map(item => describe(item));

/** Samples at which a process went back to an older version. */
export const versionRegressions = (samples: readonly VersionSample[]): readonly string[] => {
	const highest = new Map<string, number>();
	return samples.filter(({vm, pid, version}) => {
		const key = `${vm} ${pid}`;
		const before = highest.get(key) ?? 0;
		highest.set(key, Math.max(before, version));
		return version < before;
	}).map(({vm, version, atMs}) => `${vm} went back to version ${version} at ${atMs}`);
};

const outdatedVersions = ({lastVersions, history}: RunEvidence): readonly string[] => lastVersions
	.filter(version => version < history.acceptedVersion)
	.map(version => `a VM has version ${version}, accepted is ${history.acceptedVersion}`);

/** One verdict for each promise that the records can show. */
export const checkRun = (evidence: RunEvidence): readonly Verdict[] => {
	const {comparison} = evidence.result;
	return [
		verdict('each debit ran at most once', comparison.doubled),
		verdict('every answered debit ran', comparison.phantom),
		verdict('every "not run" is true', comparison.falseNotRun),
		verdict('every answer is whole and its caller\'s own', wrongResponses(evidence)),
		verdict('no answer is lost, but for callers whose router was killed', lostResponses(evidence)),
		verdict('no foreseeable work beyond the contract of a cold target', coldViolations(evidence)),
		verdict('no start at places that are gone', lateStarts(evidence)),
		verdict('no VM goes back to an older configuration', versionRegressions(evidence.samples)),
		verdict('the accepted configuration is in force everywhere at the end', outdatedVersions(evidence)),
		verdict('every planned stop ends by itself', evidence.history.stopCodes.filter(code => code !== 0).map(code => `exit code ${code ?? 'none'}`)),
	];
};
