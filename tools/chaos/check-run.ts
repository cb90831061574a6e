/** Checks the promises of the product against the records of the stand-ins and callers of a run. */
import {type RequestResult} from '../load/types.js';
import {lateStarts} from './late-starts.js';
import {type RunEvidence, type Verdict, type VersionSample} from './types.js';

/** Most details listed for one broken promise. */
const MAX_DETAILS = 10;
/** Longest time from the kill of a router until a caller detects that its connection broke. */
const KILL_DETECTION_MS = 2000;

const verdict = (promise: string, details: readonly string[]): Verdict => ({
	promise, holds: details.length === 0, details: details.slice(0, MAX_DETAILS),
});

const describe = ({plan, last, startMs, endMs, attempts}: RequestResult): string => {
	const detail = 'detail' in last ? last.detail : '';
	return `${last.kind} ${plan.service} ${plan.kind} ${plan.nonce} ${last.requestId} after ${attempts.length} attempts, ${startMs} to ${endMs}: ${detail}`;
};

/** Whether the last attempt ended with a broken connection while a router was killed, so that the kill may be the cause. */
const routerWasKilled = ({attempts}: RequestResult, kills: readonly number[]): boolean => {
	const attempt = attempts.at(-1);
	return attempt?.kind === 'broken' && kills.some(atMs => atMs >= attempt.startMs && atMs <= attempt.endMs + KILL_DETECTION_MS);
};

const lostResponses = ({result, history}: RunEvidence): readonly string[] => result.results
	.filter(item => ['lost', 'broken', 'unreachable'].includes(item.last.kind) && !routerWasKilled(item, history.kills))
	.map(item => describe(item));

const coldViolations = ({result, targetIds}: RunEvidence): readonly string[] => [...result.records]
	.filter(([, record]) => record.cold_violations > 0)
	.map(([address, record]) => `${targetIds.get(address) ?? address} got ${record.cold_violations} requests beyond its cold limit`);

const wrongResponses = ({result}: RunEvidence): readonly string[] => result.results
	.filter(item => item.attempts.some(({kind}) => kind === 'crossed' || kind === 'doubled'))
	.map(item => describe(item));

/** Describes the samples in which a process shows an older version than before. A restarted process counts as another one. */
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
	.map(version => `a VM has version ${version}, but version ${history.acceptedVersion} was accepted`);

/** Returns one verdict for each promise that the records can prove or disprove. */
export const checkRun = (evidence: RunEvidence): readonly Verdict[] => {
	const {comparison} = evidence.result;
	return [
		verdict('each debit ran at most once', comparison.doubled),
		verdict('every answered debit ran', comparison.phantom),
		verdict('every "not run" is true', comparison.falseNotRun),
		verdict('every response is complete and belongs to its request', wrongResponses(evidence)),
		verdict('no response is lost, except for callers whose router was killed', lostResponses(evidence)),
		verdict('no foreseeable work beyond the contract of a cold target', coldViolations(evidence)),
		verdict('no request is started at a target that was taken out', lateStarts(evidence)),
		verdict('no VM goes back to an older configuration', versionRegressions(evidence.samples)),
		verdict('the accepted configuration is active at every VM at the end', outdatedVersions(evidence)),
		verdict('every router that is stopped as planned exits with code 0', evidence.history.stopCodes.filter(code => code !== 0).map(code => `exit code ${code ?? 'none'}`)),
	];
};
