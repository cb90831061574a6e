/**
 * Chooses the target with the lowest price among those that can start a request in time. The
 * price is the predicted time to first token plus surcharges, all in milliseconds. A surcharge
 * stands for the delay of other requests or for a disadvantage of the target.
 */
import {pickByRendezvous} from '../membership/rendezvous.js';
import {type RoutedService} from '../routing/types.js';
import {type FleetLoads, type Load} from './fleet-loads.js';
import {type PlacementDetails} from './messages.js';
import {type TargetView} from './target-view.js';
import {
	assumedPrefixHolder, preferredTargets, findPrefixHolder, type PrefixHolder, type PrefixContext,
} from './prefix-holder.js';
import {prefixKeys} from './prefix-cache-estimate.js';
import {
	hasCapacity, startsInTime, type Precedence, type TargetOccupancy,
} from './start-limits.js';
import {slowedMs} from './target-speed.js';
import {type PlacementRequest} from './types.js';

/** Price in milliseconds of each request that runs at the target. */
const RUNNING_PRICE_MS = 2;
/** Price in milliseconds of each running request for each output token: an engine generates one token for all of them in a decode step. */
const RUNNING_PRICE_MS_PER_TOKEN = 0.06;
/** Price in milliseconds of a target in another data centre. */
const OTHER_DATA_CENTRE_PRICE_MS = 3;
/** Price in milliseconds of the call between the engines, where a target other than the prefix holder lacks tokens of the prefix. */
const COPY_CALL_PRICE_MS = 10;
/** Price in milliseconds of each prefix token that a target other than the prefix holder lacks, since a copy takes memory from other prompts. It is a fifth of the token's prefill time. */
const COPY_PRICE_MS_PER_TOKEN = 0.01;
/** Fewest tokens that a copy must add to those that the target has cached. The call for a copy takes an engine as long as the prefill of some hundred tokens. */
const MIN_COPY_TOKENS = 150;
/** Price in milliseconds of a suspect target, which is not known to be alive. */
const SUSPECT_PRICE_MS = 300;
/** Price in milliseconds of a target that takes twice the typical time. It is the time that a request without a prompt takes. */
const SLOWDOWN_PRICE_MS = 10;
/** Price in milliseconds of a target that declined like requests a moment ago: more than any latency target. */
const DECLINED_PRICE_MS = 10_000;
/** Largest share of the targets that is skipped after failures; skipping more would overload the others. */
const MAX_SKIPPED_SHARE = 0.34;

/** A target that a request may be sent to, with the figures that the choice is based on. */
export type Candidate = {
	readonly target: TargetView;
	/** The prompt's `prefixKeys`. */
	readonly keys: readonly number[];
	/** Tokens of the whole prompt. */
	readonly promptTokens: number;
	/** Prompt tokens that the target has to prefill. */
	readonly newTokens: number;
	/** Leading tokens that the target would copy from another one. */
	readonly copiedTokens: number;
	/** Whether the target is the prefix holder, or the preferred target that is assumed to be the holder. */
	readonly isPrefixHolder: boolean;
	/** Whether the target can start the request in time, by what this VM knows. */
	readonly canStartInTime: boolean;
	/** Details of the choice, for the log. */
	readonly figures: PlacementDetails;
	/** Predicted milliseconds to first token at an engine of the service's average speed. */
	readonly averageMs: number;
	/** Predicted milliseconds to first token plus all surcharges. */
	readonly price: number;
	/** Whether the request may be put in line at the target's owner. */
	readonly mayWait: boolean;
};

/** Inputs of the choice that are the same for all requests at one moment. */
export type ChoiceContext = PrefixContext & {
	readonly service: RoutedService;
	readonly dataCentre: string;
	/** Load reports of the other VMs. */
	readonly fleet: FleetLoads;
	/** Whether valid reports of all other VMs are known. */
	readonly hasAllReports: boolean;
	/** Whether the fleet is so large that load reports are a sample. */
	readonly isSampled: boolean;
	/** Uniform in [0, 1). */
	readonly random: () => number;
	/** Estimated prefill rate of the service's engines. */
	readonly tokensPerMs: number;
	/** Average prompt tokens that a target has to prefill for a request. */
	readonly averageNewTokens: number;
	/** Average tokens of KV cache that a request occupies. */
	readonly averageHeldTokens: number;
	/** Whether prompts need a reservation from the owner of their target. */
	readonly needsReservation: boolean;
	/** Whether a request may be put in line at the first target that is tried. A request whose targets have all declined like ones may in any case. */
	readonly mayWait: (request: PlacementRequest, precedence: Precedence) => boolean;
	/** Returns the milliseconds by which the owner of a target with a line lately predicted a later first token than this VM. */
	readonly lineWaitMs: (target: TargetView) => number;
	/** Whether a target recently declined a request that needs as much or less. */
	readonly hasDeclined: (target: TargetView, needs: Precedence & {readonly newTokens: number}) => boolean;
	/** Returns the leading tokens of a prompt that can be copied from its preferred target, as reported by the target's owner. */
	readonly copyableTokensOf: (keys: readonly number[]) => number;
	/** Whether a target may receive one more request now if it is cold; always true for a warm one. */
	readonly hasColdCapacity: (target: TargetView) => boolean;
};

/** Returns the requests of other VMs at a target: by their reports, and also by the target's load figures while reports are missing. */
const othersAt = (target: TargetView, {fleet, hasAllReports, averageNewTokens, averageHeldTokens, nowMs}: ChoiceContext): Load => {
	const reported = fleet.loadAt(target.record.id);
	if (hasAllReports) {
		return reported;
	}

	const running = Math.max(reported.running, target.othersRunning(nowMs));
	const unreported = running - reported.running;
	return {
		running,
		readingTokens: reported.readingTokens + (Math.min(unreported, target.reportedWaiting(nowMs)) * averageNewTokens),
		heldTokens: reported.heldTokens + (unreported * averageHeldTokens),
	};
};

const occupancyOf = ({record, running, readingTokens, heldTokens}: TargetView, others: Load): TargetOccupancy => ({
	slots: record.slots,
	load: {
		running: running + others.running, readingTokens: readingTokens + others.readingTokens, heldTokens: heldTokens + others.heldTokens,
	},
});

/** Inputs by which one target is evaluated for a request. */
type Evaluation = {
	readonly request: PlacementRequest;
	/** The prompt's `prefixKeys`. */
	readonly keys: readonly number[];
	/** Tokens of the shared prefix. */
	readonly sharedTokens: number;
	readonly holder: PrefixHolder | undefined;
	/** Requests of other VMs at the target. */
	readonly others: Load;
	readonly precedence: Precedence;
};

/** Returns the price in milliseconds of a request at a target beyond its predicted time to first token. */
const priceBeyondStart = (target: TargetView, {request: {prompt}, others, holder}: Evaluation, {missingTokens, dataCentre}: {readonly missingTokens: number; readonly dataCentre: string}): number => {
	const isOtherTarget = holder !== undefined && holder.target !== target;
	return ((target.running + others.running) * (RUNNING_PRICE_MS + ((prompt?.outputTokens ?? 0) * RUNNING_PRICE_MS_PER_TOKEN)))
		+ (target.record.dataCentre === dataCentre ? 0 : OTHER_DATA_CENTRE_PRICE_MS)
		+ (isOtherTarget && missingTokens > 0 ? COPY_CALL_PRICE_MS + (missingTokens * COPY_PRICE_MS_PER_TOKEN) : 0)
		+ (target.isSuspect ? SUSPECT_PRICE_MS : 0);
};

const candidateAt = (target: TargetView, evaluation: Evaluation, ctx: ChoiceContext): Candidate => {
	const {request, keys, sharedTokens, holder, others, precedence} = evaluation;
	const {prompt} = request;
	const {service, prefixCaches, tokensPerMs, dataCentre, nowMs} = ctx;
	const recordedTokens = prompt ? prefixCaches.keptTokens(target.record.id, prompt, keys, nowMs) : 0;
	const cachedTokens = ctx.isSampled && holder?.target === target ? sharedTokens : recordedTokens;
	const source = service.engine?.canCopyPrompts === true && holder && holder.copyableTokens >= cachedTokens + MIN_COPY_TOKENS ? holder.source : undefined;
	const missingTokens = sharedTokens - cachedTokens;
	const keptTokens = source && holder ? holder.copyableTokens : cachedTokens;
	const newTokens = prompt ? Math.max(0, prompt.tokens - keptTokens) : 0;
	const slowdown = target.slowdown(nowMs);
	const averageMs = slowedMs((target.readingTokens + others.readingTokens + newTokens) / tokensPerMs, slowdown);
	// Where load reports are a sample, predictions differ from measured times for other reasons than the engine's speed.
	const pace = ctx.isSampled ? 1 : target.prefillPace.factor(nowMs);
	const predictedMs = averageMs * pace;
	const ownPrefillMs = slowedMs(newTokens / tokensPerMs, slowdown) * pace;
	const terms = {givesWay: precedence.givesWay, isExact: false};
	const waitedMs = nowMs - request.arrivedMs;
	return {
		target,
		keys,
		promptTokens: prompt?.tokens ?? 0,
		newTokens,
		copiedTokens: source && holder ? holder.copyableTokens : 0,
		isPrefixHolder: holder?.target === target,
		canStartInTime: hasCapacity(request, occupancyOf(target, others), {service, ...terms}) && startsInTime(request, {waitedMs, predictedMs, ownPrefillMs}, terms),
		averageMs,
		mayWait: false,
		price: predictedMs + (priceBeyondStart(target, evaluation, {missingTokens, dataCentre}) * slowdown) + ((slowdown - 1) * SLOWDOWN_PRICE_MS),
		figures: {
			predictedMs,
			keptTokens,
			running: target.running,
			othersRunning: others.running,
			isCold: target.isCold(nowMs),
			heartbeatAgeMs: nowMs - target.lastHeartbeatMs,
			waitedMs,
			copyFrom: source?.record,
			givesWay: precedence.givesWay,
		},
	};
};

/**
 * Returns the one target for requests that are kept apart. VMs that know the same targets choose
 * the same one, so that requests which end their targets end few.
 */
const isolationTarget = (key: string, targets: readonly TargetView[], nowMs: number): readonly TargetView[] => {
	const alive = targets.filter(target => !target.isSuspect);
	const warm = alive.filter(target => !target.isCold(nowMs));
	const candidates = [warm, alive, targets].find(({length}) => length > 0) ?? [];
	const chosen = pickByRendezvous(key, candidates.map(({record}) => record.id));
	return candidates.filter(({record}) => record.id === chosen);
};

/** Whether a target may receive the request: it was not sent there before, and the target does not back off. */
const isEligible = (target: TargetView, tried: readonly string[], nowMs: number): boolean => target.backOffMs(nowMs) === 0 && !tried.includes(target.record.id);

/** Returns the targets that may receive the request. These also exclude those with the most failures in a row among the recently failed ones. */
const eligibleTargets = ({tried, isolateBy}: PlacementRequest, {targets, nowMs}: ChoiceContext): readonly TargetView[] => {
	const eligible = targets.filter(target => isEligible(target, tried, nowMs));
	const isolationKey = isolateBy?.();
	if (isolationKey !== undefined) {
		return isolationTarget(isolationKey, eligible, nowMs);
	}

	const failing = eligible.filter(target => target.isSkipped(nowMs));
	if (failing.length === 0) {
		return eligible;
	}

	const skipped = new Set(failing.toSorted((a, b) => b.failuresInRow - a.failuresInRow).slice(0, Math.floor(eligible.length * MAX_SKIPPED_SHARE)));
	return eligible.filter(target => !skipped.has(target));
};

/** How many targets did not accept a request, by reason. */
export type UnavailableTargets = {
	/** All targets that may receive requests. */
	readonly targets: number;
	/** Targets that failed recently, back off, or received the request before. */
	readonly passedOver: number;
	/** Cold or suspect targets to which this VM has already sent its share of the requests. */
	readonly cold: number;
	/** Targets of `cold` that are suspect: their connections broke, and no response has arrived since. */
	readonly doubtful: number;
	/** Targets without a free slot or enough free memory. */
	readonly full: number;
	/** Targets with capacity that would have started the request too late. */
	readonly late: number;
};

/** Counts the targets that do not accept a request by reason, for the log. */
export const countUnavailable = (request: PlacementRequest, precedence: Precedence, ctx: ChoiceContext): UnavailableTargets => {
	const eligible = eligibleTargets(request, ctx);
	const withColdCapacity = eligible.filter(target => ctx.hasColdCapacity(target));
	const withCapacity = withColdCapacity.filter(target => hasCapacity(request, occupancyOf(target, othersAt(target, ctx)), {service: ctx.service, givesWay: precedence.givesWay, isExact: false}));
	return {
		targets: ctx.targets.length,
		passedOver: ctx.targets.length - eligible.length,
		cold: eligible.length - withColdCapacity.length,
		doubtful: eligible.filter(target => target.isSuspect && !ctx.hasColdCapacity(target)).length,
		full: withColdCapacity.length - withCapacity.length,
		late: withCapacity.length,
	};
};

/** Whether any target is left that the request was not sent to and that does not back off, even if none can start it now. */
export const hasTargetLeft = ({tried}: PlacementRequest, {targets, nowMs}: ChoiceContext): boolean => targets.some(target => isEligible(target, tried, nowMs));

/** Returns the milliseconds until the first target that backs off accepts requests again; undefined when none does. */
export const shortestBackOffMs = ({tried}: PlacementRequest, {targets, nowMs}: ChoiceContext): number | undefined => {
	const times = targets.filter(({record}) => !tried.includes(record.id)).map(target => target.backOffMs(nowMs)).filter(ms => ms > 0);
	return times.length === 0 ? undefined : Math.min(...times);
};

/** Returns two random targets. The better of two random choices balances loads even when figures are inexact. */
const twoRandomTargets = (targets: readonly TargetView[], random: () => number): readonly TargetView[] => {
	if (targets.length <= 2) {
		return targets;
	}

	const first = Math.floor(random() * targets.length);
	const second = (first + 1 + Math.floor(random() * (targets.length - 1))) % targets.length;
	return [targets[first]!, targets[second]!];
};

/**
 * Returns the shortlist of targets that are compared for a request: all of them where loads
 * are known exactly. Where load reports are a sample, VMs that compared all targets would send
 * to the same target until they receive reports of its load. So each VM compares the preferred
 * targets of the prompt and two random ones. While no engine is known to have a shared prefix
 * cached, only the preferred targets are compared if one of them accepts requests. Requests
 * that arrive together then find the prefix there, and only those targets prefill it.
 */
const shortlist = (request: PlacementRequest, keys: readonly number[], {newTokens, ...precedence}: Precedence & {readonly newTokens: number}, ctx: ChoiceContext): readonly TargetView[] => {
	const eligible = eligibleTargets(request, ctx);
	if (!ctx.isSampled) {
		return eligible;
	}

	const preferred = preferredTargets(keys, ctx).filter(target => eligible.includes(target));
	const isOpen = (target: TargetView): boolean => ctx.hasColdCapacity(target) && !ctx.hasDeclined(target, {newTokens, ...precedence});
	if (ctx.needsReservation && request.prompt && ctx.copyableTokensOf(keys) === 0 && preferred.some(target => isOpen(target))) {
		return preferred;
	}

	return [...preferred, ...twoRandomTargets(eligible, ctx.random).filter(target => !preferred.includes(target))];
};

/** Returns the target with the lowest price among those that can start the request now. */
export const chooseTarget = (request: PlacementRequest, precedence: Precedence, ctx: ChoiceContext): Candidate | undefined => {
	const keys = request.prompt ? prefixKeys(request.prompt) : [];
	const sharedTokens = request.prompt?.parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0) ?? 0;
	const holder = ctx.isSampled ? assumedPrefixHolder(keys, ctx.needsReservation ? ctx.copyableTokensOf(keys) : sharedTokens, ctx) : request.prompt && findPrefixHolder(request.prompt, keys, ctx);
	const isReserved = ctx.needsReservation && request.prompt !== undefined;
	const mayWait = isReserved && ctx.mayWait(request, precedence);
	let best: Candidate | undefined;
	let bestPrice = Infinity;
	for (const target of shortlist(request, keys, {...precedence, newTokens: request.prompt?.tokens ?? 0}, ctx)) {
		if (!ctx.hasColdCapacity(target)) {
			continue;
		}

		const candidate = candidateAt(target, {
			request, keys, sharedTokens, holder, others: othersAt(target, ctx), precedence,
		}, ctx);
		const isOpen = isReserved ? !ctx.hasDeclined(target, {newTokens: candidate.newTokens, ...precedence}) : candidate.canStartInTime;
		if (!isOpen && (!isReserved || precedence.isLate)) {
			continue;
		}

		// A target that declined like requests comes after all others, but for a request that may be in line there.
		const price = candidate.price + (mayWait || !isOpen ? ctx.lineWaitMs(target) : 0) + (isOpen || mayWait ? 0 : DECLINED_PRICE_MS);
		if (price < bestPrice) {
			best = {...candidate, mayWait: mayWait || !isOpen};
			bestPrice = price;
		}
	}

	return best;
};
