/** Chooses the target at which a request costs least, among those that can start it in time. */
import {type RoutedService} from '../routing/types.js';
import {type FleetLoads, type Load} from './fleet-loads.js';
import {type PlacementDetails} from './messages.js';
import {type TargetView} from './target-view.js';
import {
	assumedKeeper, homesOf, keeperOf, type Keeper, type KeeperContext,
} from './prompt-keeper.js';
import {prefixKeys} from './prefix-cache-estimate.js';
import {hasCapacity, startsInTime, type TargetOccupancy} from './start-limits.js';
import {slowedMs} from './target-speed.js';
import {type PlacementRequest} from './types.js';

/** Milliseconds that each running request costs, as a price when targets are compared. */
const RUNNING_PRICE_MS = 2;
/** Milliseconds that each running request costs for each token to generate: an engine makes one for all of them in a step. */
const RUNNING_PRICE_MS_PER_TOKEN = 0.06;
/** Milliseconds that another data centre costs, as a price when targets are compared. */
const OTHER_DATA_CENTRE_PRICE_MS = 3;
/** Milliseconds that a target other than the prompt's keeper costs, as a price: the call between the engines. */
const AWAY_PRICE_MS = 10;
/** Milliseconds that each shared token costs there, as a price: a copy takes memory from other prompts. A fifth of the time to read it. */
const COPY_PRICE_MS_PER_TOKEN = 0.01;
/** Prompt tokens below which a copy is not worth its call, which takes an engine as long as reading some hundred tokens. */
const MIN_COPY_TOKENS = 150;
/** Milliseconds that a target costs, as a price, while it is not known to be alive. */
const DOUBT_PRICE_MS = 300;
/** Milliseconds that a request without a prompt takes at a target, as a price of one that is twice as slow as usual. */
const WORK_PRICE_MS = 10;
/** Largest part of the targets that is passed over after failures; more would crowd the rest. */
const MAX_PASSED_OVER_SHARE = 0.34;

export type Candidate = {
	readonly target: TargetView;
	/** The prompt's `sharedKeys`. */
	readonly keys: readonly number[];
	/** Tokens of the whole prompt. */
	readonly promptTokens: number;
	/** Prompt tokens that the target has to read. */
	readonly newTokens: number;
	/** Leading tokens that it would copy from another target. */
	readonly copiedTokens: number;
	/** Whether the prompt's shared parts belong there. */
	readonly isHome: boolean;
	/** Whether it can start the request in time, by what is known here. */
	readonly canStartInTime: boolean;
	readonly reason: PlacementDetails;
	/** Milliseconds that the request costs there, with what it costs others. */
	readonly price: number;
};

/** What a choice rests on, the same for all asks of one moment. */
export type ChoiceContext = KeeperContext & {
	readonly service: RoutedService;
	readonly dataCentre: string;
	readonly fleet: FleetLoads;
	/** Whether all other VMs' reports are at hand. */
	readonly hasAllReports: boolean;
	/** Whether the fleet is so large that reports are a sample. */
	readonly isSampled: boolean;
	/** Uniform in [0, 1). */
	readonly random: () => number;
	readonly tokensPerMs: number;
	/** Tokens that a request has to read, and that it keeps in memory, on average. */
	readonly averageNewTokens: number;
	readonly averageHeldTokens: number;
	/** Whether the owner of a target's ledger decides whether it takes a prompt. */
	readonly isReserved: boolean;
	/** Whether a target declined a request like this one a moment ago. */
	readonly hasDeclined: (target: TargetView, wish: {readonly newTokens: number; readonly givesWay: boolean}) => boolean;
	/** Tokens of a prompt that its home can pass on, as its owner told. */
	readonly copyableTokensOf: (keys: readonly number[]) => number;
	/** Whether a cold target may get one more request. */
	readonly hasColdCapacity: (target: TargetView) => boolean;
};

/** Other VMs' requests at a target: as they report, or as its answers tell while VMs are not heard. */
const othersAt = (target: TargetView, {fleet, hasAllReports, averageNewTokens, averageHeldTokens, nowMs}: ChoiceContext): Load => {
	const reported = fleet.at(target.record.id);
	if (hasAllReports) {
		return reported;
	}

	const running = Math.max(reported.running, target.othersRunning(nowMs));
	const unheard = running - reported.running;
	return {
		running,
		readingTokens: reported.readingTokens + (Math.min(unheard, target.reportedWaiting(nowMs)) * averageNewTokens),
		heldTokens: reported.heldTokens + (unheard * averageHeldTokens),
	};
};

const occupied = ({record, running, readingTokens, heldTokens}: TargetView, others: Load): TargetOccupancy => ({
	slots: record.slots,
	load: {
		running: running + others.running, readingTokens: readingTokens + others.readingTokens, heldTokens: heldTokens + others.heldTokens,
	},
});

/** What is compared at each target for one ask. */
type Consideration = {
	readonly ask: PlacementRequest;
	/** The prompt's `sharedKeys`. */
	readonly keys: readonly number[];
	/** Tokens of the shared parts. */
	readonly sharedTokens: number;
	readonly keeper: Keeper | undefined;
	readonly others: Load;
	readonly givesWay: boolean;
};

/** Milliseconds that a request costs at a target beyond the time until its first token, as a price. */
const priceBeyondStart = (target: TargetView, {ask: {prompt}, others, keeper}: Consideration, {lacking, dataCentre}: {readonly lacking: number; readonly dataCentre: string}): number => {
	const isAway = keeper !== undefined && keeper.target !== target;
	return ((target.running + others.running) * (RUNNING_PRICE_MS + ((prompt?.outputTokens ?? 0) * RUNNING_PRICE_MS_PER_TOKEN)))
		+ (target.record.dataCentre === dataCentre ? 0 : OTHER_DATA_CENTRE_PRICE_MS)
		+ (isAway && lacking > 0 ? AWAY_PRICE_MS + (lacking * COPY_PRICE_MS_PER_TOKEN) : 0)
		+ (target.isDoubtful ? DOUBT_PRICE_MS : 0);
};

const candidateAt = (target: TargetView, consideration: Consideration, ctx: ChoiceContext): Candidate => {
	const {ask, keys, sharedTokens, keeper, others, givesWay} = consideration;
	const {prompt} = ask;
	const {service, prompts, tokensPerMs, dataCentre, nowMs} = ctx;
	const recorded = prompt ? prompts.keptTokens(target.record.id, prompt, keys, nowMs) : 0;
	const own = ctx.isSampled && keeper?.target === target ? sharedTokens : recorded;
	const source = service.engine?.canCopyPrompts === true && keeper && keeper.copyableTokens >= own + MIN_COPY_TOKENS ? keeper.source : undefined;
	const lacking = sharedTokens - own;
	const keptTokens = source && keeper ? keeper.copyableTokens : own;
	const newTokens = prompt ? Math.max(0, prompt.tokens - keptTokens) : 0;
	const slowdown = target.slowdown(nowMs);
	const predictedMs = slowedMs((target.readingTokens + others.readingTokens + newTokens) / tokensPerMs, slowdown);
	const ownPrefillMs = slowedMs(newTokens / tokensPerMs, slowdown);
	const terms = {givesWay, isExact: false};
	const waitedMs = nowMs - ask.arrivedMs;
	return {
		target,
		keys,
		promptTokens: prompt?.tokens ?? 0,
		newTokens,
		copiedTokens: source && keeper ? keeper.copyableTokens : 0,
		isHome: keeper?.target === target,
		canStartInTime: hasCapacity(ask, occupied(target, others), {service, ...terms}) && startsInTime(ask, {waitedMs, predictedMs, ownPrefillMs}, terms),
		price: predictedMs + (priceBeyondStart(target, consideration, {lacking, dataCentre}) * slowdown) + ((slowdown - 1) * WORK_PRICE_MS),
		reason: {
			predictedMs,
			keptTokens,
			running: target.running,
			othersRunning: others.running,
			isCold: target.isCold(nowMs),
			heartbeatAgeMs: nowMs - target.heardMs,
			waitedMs,
			copyFrom: source?.record,
			givesWay,
		},
	};
};

/** Targets that the request was not sent to, less the worst of those that failed lately. */
const untried = ({tried}: PlacementRequest, {targets, nowMs}: ChoiceContext): readonly TargetView[] => {
	const left = targets.filter(target => target.backOffMs(nowMs) === 0 && !tried.includes(target.record.id));
	const failing = left.filter(target => target.isPassedOver(nowMs));
	if (failing.length === 0) {
		return left;
	}

	const passedOver = new Set(failing.toSorted((a, b) => b.failuresInRow - a.failuresInRow).slice(0, Math.floor(left.length * MAX_PASSED_OVER_SHARE)));
	return left.filter(target => !passedOver.has(target));
};

/** Why targets did not take a request: how many of them for each reason. */
export type UnavailableTargets = {
	readonly targets: number;
	/** Failed lately, or tried before. */
	readonly passedOver: number;
	/** Cold or doubtful, and this VM has sent its share. */
	readonly cold: number;
	/** Of them doubtful: connections broke, and no answer has come since. */
	readonly doubtful: number;
	/** No slot or memory. */
	readonly full: number;
	/** Would start the request too late. */
	readonly late: number;
};

/** Looks why no target takes a request, for the log. */
export const countUnavailable = (ask: PlacementRequest, givesWay: boolean, ctx: ChoiceContext): UnavailableTargets => {
	const left = untried(ask, ctx);
	const withColdRoom = left.filter(target => ctx.hasColdCapacity(target));
	const withRoom = withColdRoom.filter(target => hasCapacity(ask, occupied(target, othersAt(target, ctx)), {service: ctx.service, givesWay, isExact: false}));
	return {
		targets: ctx.targets.length,
		passedOver: ctx.targets.length - left.length,
		cold: left.length - withColdRoom.length,
		doubtful: left.filter(target => target.isDoubtful && !ctx.hasColdCapacity(target)).length,
		full: withColdRoom.length - withRoom.length,
		late: withRoom.length,
	};
};

/** Whether any target is left for the request, now or later. */
export const hasTargetLeft = (ask: PlacementRequest, ctx: ChoiceContext): boolean => untried(ask, ctx).length > 0;

/** Milliseconds until the first target takes requests again that asked to be left alone; undefined when none did. */
export const shortestBackOffMs = ({tried}: PlacementRequest, {targets, nowMs}: ChoiceContext): number | undefined => {
	const times = targets.filter(({record}) => !tried.includes(record.id)).map(target => target.backOffMs(nowMs)).filter(ms => ms > 0);
	return times.length === 0 ? undefined : Math.min(...times);
};

/** Two targets at random: the better of two keeps loads even without exact figures. */
const twoAtRandom = (targets: readonly TargetView[], random: () => number): readonly TargetView[] => {
	if (targets.length <= 2) {
		return targets;
	}

	const first = Math.floor(random() * targets.length);
	const second = (first + 1 + Math.floor(random() * (targets.length - 1))) % targets.length;
	return [targets[first]!, targets[second]!];
};

/**
 * Targets that are compared: all of them where loads are known exactly. Where they are
 * not, VMs that compare all would send to the same one until they hear of it, so each
 * compares the homes of the prompt and two others at random. A shared part that no engine
 * is known to keep is prefilled at a home while one is open, so that the requests that come
 * with it meet it there instead of having it prefilled at several engines.
 */
const compared = (ask: PlacementRequest, keys: readonly number[], {givesWay, newTokens}: {readonly givesWay: boolean; readonly newTokens: number}, ctx: ChoiceContext): readonly TargetView[] => {
	const left = untried(ask, ctx);
	if (!ctx.isSampled) {
		return left;
	}

	const homes = homesOf(keys, ctx).filter(target => left.includes(target));
	const isOpen = (target: TargetView): boolean => ctx.hasColdCapacity(target) && !ctx.hasDeclined(target, {newTokens, givesWay});
	if (ctx.isReserved && ask.prompt && ctx.copyableTokensOf(keys) === 0 && homes.some(target => isOpen(target))) {
		return homes;
	}

	return [...homes, ...twoAtRandom(left, ctx.random).filter(target => !homes.includes(target))];
};

/**
 * The best target that can start the request now.
 *
 * @param givesWay - Whether the request gives way to others: its team received its share.
 */
export const chooseTarget = (ask: PlacementRequest, givesWay: boolean, ctx: ChoiceContext): Candidate | undefined => {
	const keys = ask.prompt ? prefixKeys(ask.prompt) : [];
	const sharedTokens = ask.prompt?.parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0) ?? 0;
	const keeper = ctx.isSampled ? assumedKeeper(keys, ctx.isReserved ? ctx.copyableTokensOf(keys) : sharedTokens, ctx) : ask.prompt && keeperOf(ask.prompt, keys, ctx);
	const isReserved = ctx.isReserved && ask.prompt !== undefined;
	let best: Candidate | undefined;
	for (const target of compared(ask, keys, {givesWay, newTokens: ask.prompt?.tokens ?? 0}, ctx)) {
		if (!ctx.hasColdCapacity(target)) {
			continue;
		}

		const candidate = candidateAt(target, {
			ask, keys, sharedTokens, keeper, others: othersAt(target, ctx), givesWay,
		}, ctx);
		const isOpen = isReserved ? !ctx.hasDeclined(target, {newTokens: candidate.newTokens, givesWay}) : candidate.canStartInTime;
		if (isOpen && (!best || candidate.price < best.price)) {
			best = candidate;
		}
	}

	return best;
};
