/** Chooses the target at which a request costs least, among those that can start it in time. */
import {hash32} from '../membership/rendezvous.js';
import {type RoutedService, type TargetRecord} from '../routing/types.js';
import {type FleetLoads, type Load} from './fleet-loads.js';
import {type PlacementReason} from './messages.js';
import {type PlacedTarget} from './placed-target.js';
import {sharedKeys, type PromptRecord} from './prompt-record.js';
import {type PlacedAsk} from './types.js';

/** Part of the target latency within which the first token is predicted; the rest is for the way and for errors of the prediction. */
const START_SHARE = 0.55;
/** Part of the target latency that others' prompts may take ahead of one that cannot be in time by itself. */
const LARGE_BACKLOG_SHARE = 0.03;
/** Part of a model engine's memory that running requests take; the rest keeps prompt parts for the next ones. Measured, see the note on the platform. */
const MEMORY_SHARE = 0.5;
/** Largest part of the slots that model requests of all VMs together take. Beyond it tokens come too slowly for long answers to end in time. */
const RUNNING_SHARE = 0.85;
/** The same three for requests that give way, so that what comes after them finds room. */
const YIELDING_START_SHARE = 0.25;
const YIELDING_RUNNING_SHARE = 0.5;
const YIELDING_MEMORY_SHARE = 0.25;
/** Requests that a plain target may have for each slot, the rest waiting there. */
const PLAIN_PER_SLOT = 2;
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
/** Largest part of the targets that is passed over after failures; more would crowd the rest. */
const MAX_PASSED_OVER_SHARE = 0.34;

export type Candidate = {
	readonly target: PlacedTarget;
	/** Prompt tokens that the target has to read. */
	readonly newTokens: number;
	readonly reason: PlacementReason;
	/** Milliseconds that the request costs there, with what it costs others. */
	readonly price: number;
};

/** Where a prompt's shared parts are. */
type Keeper = {
	/** The target that they belong to. */
	readonly target: PlacedTarget;
	/** The target from which others can copy most of them now. */
	readonly source: PlacedTarget | undefined;
	readonly copyableTokens: number;
};

/** What a choice rests on, the same for all asks of one moment. */
export type ChoiceContext = {
	readonly service: RoutedService;
	readonly dataCentre: string;
	/** Targets that may get requests at all. */
	readonly targets: readonly PlacedTarget[];
	/** Targets that are not cold, by which homes of prompts are chosen. */
	readonly homes: readonly PlacedTarget[];
	/** Homes of prompts by their shared parts, as long as `homes` stays the same. */
	readonly homeOfPrompt: Map<number, PlacedTarget>;
	readonly prompts: PromptRecord;
	readonly fleet: FleetLoads;
	/** Whether all other VMs' reports are at hand. */
	readonly hearsFleet: boolean;
	readonly tokensPerMs: number;
	/** Tokens that a request has to read, on average. */
	readonly averageNewTokens: number;
	/** Whether the request gives way to others: its team received its share. */
	readonly givesWay: boolean;
	/** Whether a cold target may get one more request. */
	readonly hasColdRoom: (target: PlacedTarget) => boolean;
	readonly nowMs: number;
};

/** Other VMs' requests at a target: as they report, or as its answers tell while VMs are not heard. */
const othersAt = (target: PlacedTarget, {fleet, hearsFleet, averageNewTokens, nowMs}: ChoiceContext): Load => {
	const reported = fleet.at(target.record.id);
	if (hearsFleet) {
		return reported;
	}

	const running = Math.max(reported.running, target.othersRunning(nowMs));
	const unheard = running - reported.running;
	const heldEach = target.running > 0 ? target.heldTokens / target.running : 0;
	return {
		running,
		readingTokens: reported.readingTokens + (Math.min(unheard, target.reportedWaiting(nowMs)) * averageNewTokens),
		heldTokens: reported.heldTokens + (unheard * heldEach),
	};
};

/** Memory and slots bound what a model engine takes; slots bound what a plain target takes. */
const hasRoom = (target: PlacedTarget, others: Load, {prompt, isResumed}: PlacedAsk, {service: {engine}, givesWay}: ChoiceContext): boolean => {
	const running = target.running + others.running;
	if (!prompt || !engine) {
		return running < target.record.slots * PLAIN_PER_SLOT;
	}

	const tokens = target.heldTokens + others.heldTokens + prompt.tokens + prompt.outputTokens;
	const [slotShare, memoryShare] = givesWay && isResumed !== true ? [YIELDING_RUNNING_SHARE, YIELDING_MEMORY_SHARE] : [RUNNING_SHARE, MEMORY_SHARE];
	return running < Math.max(1, engine.slots * slotShare) && (running === 0 || tokens <= engine.kvCapacityTokens * memoryShare);
};

/**
 * A large prompt that cannot be in time by itself is started when little is ahead of it,
 * rather than never. What has begun cannot be in time any more, so its wait does not count.
 */
const startsInTime = ({targetLatencyMs, isResumed}: PlacedAsk, {predictedMs, waitedMs}: PlacementReason, ownMs: number, givesWay: boolean): boolean =>
	(givesWay && isResumed !== true ? predictedMs <= targetLatencyMs * YIELDING_START_SHARE : (isResumed === true ? 0 : waitedMs) + predictedMs <= targetLatencyMs * START_SHARE)
	|| predictedMs - ownMs <= Math.min(targetLatencyMs * LARGE_BACKLOG_SHARE, ownMs);

/** The home of a prompt's shared parts, which all VMs choose alike by a hash. */
const homeOf = (key: number, {homes, homeOfPrompt}: ChoiceContext): PlacedTarget | undefined => {
	let home = homeOfPrompt.get(key);
	if (!home) {
		let highest = -1;
		for (const target of homes) {
			const weight = hash32(`${key}|${target.record.id}`);
			if (weight > highest) {
				highest = weight;
				home = target;
			}
		}

		if (home) {
			homeOfPrompt.set(key, home);
		}
	}

	return home;
};

/** The target that keeps most of a prompt, or its home while no target is known to keep more than another. */
const keeperOf = ({prompt}: PlacedAsk, keys: readonly number[], ctx: ChoiceContext): Keeper | undefined => {
	const key = keys.at(-1);
	if (!prompt || key === undefined) {
		return undefined;
	}

	const {prompts, targets, nowMs} = ctx;
	const home = homeOf(key, ctx);
	let keeper = home;
	let mostKept = home ? prompts.keptTokens(home.record.id, prompt, keys, nowMs) : 0;
	let source: PlacedTarget | undefined;
	let copyableTokens = 0;
	for (const target of targets) {
		const kept = prompts.keptTokens(target.record.id, prompt, keys, nowMs);
		if (kept > mostKept) {
			keeper = target;
			mostKept = kept;
		}

		const copyable = kept > copyableTokens ? prompts.copyableTokens(target.record.id, prompt, keys, nowMs) : 0;
		if (copyable > copyableTokens) {
			source = target;
			copyableTokens = copyable;
		}
	}

	return keeper && {target: keeper, source, copyableTokens};
};

/** What is compared at each target for one ask. */
type Consideration = {
	readonly ask: PlacedAsk;
	/** The prompt's `sharedKeys`. */
	readonly keys: readonly number[];
	/** Tokens of the shared parts. */
	readonly sharedTokens: number;
	readonly keeper: Keeper | undefined;
	readonly others: Load;
};

const candidateAt = (target: PlacedTarget, {ask, keys, sharedTokens, keeper, others}: Consideration, ctx: ChoiceContext): Candidate => {
	const {prompt} = ask;
	const {service, prompts, tokensPerMs, dataCentre, nowMs} = ctx;
	const own = prompt ? prompts.keptTokens(target.record.id, prompt, keys, nowMs) : 0;
	const isAway = keeper !== undefined && keeper.target !== target;
	const source = service.engine?.canCopyPrompts === true && keeper && keeper.copyableTokens >= own + MIN_COPY_TOKENS ? keeper.source : undefined;
	const lacking = sharedTokens - own;
	const keptTokens = source && keeper ? keeper.copyableTokens : own;
	const newTokens = prompt ? Math.max(0, prompt.tokens - keptTokens) : 0;
	const predictedMs = (target.readingTokens + others.readingTokens + newTokens) / tokensPerMs;
	const copyFrom: TargetRecord | undefined = source?.record;
	return {
		target,
		newTokens,
		price: predictedMs + ((target.running + others.running) * (RUNNING_PRICE_MS + ((prompt?.outputTokens ?? 0) * RUNNING_PRICE_MS_PER_TOKEN)))
			+ (target.record.dataCentre === dataCentre ? 0 : OTHER_DATA_CENTRE_PRICE_MS) + (isAway && lacking > 0 ? AWAY_PRICE_MS + (lacking * COPY_PRICE_MS_PER_TOKEN) : 0)
			+ (target.isDoubtful ? DOUBT_PRICE_MS : 0),
		reason: {
			predictedMs,
			keptTokens,
			running: target.running,
			othersRunning: others.running,
			isCold: target.isCold(nowMs),
			heartbeatAgeMs: nowMs - target.heardMs,
			waitedMs: nowMs - ask.arrivedMs,
			copyFrom,
		},
	};
};

/** Targets that the request was not sent to, less the worst of those that failed lately. */
const untried = ({tried}: PlacedAsk, {targets, nowMs}: ChoiceContext): readonly PlacedTarget[] => {
	const left = tried.length === 0 ? targets : targets.filter(({record}) => !tried.includes(record.id));
	const failing = left.filter(target => target.isPassedOver(nowMs));
	if (failing.length === 0) {
		return left;
	}

	const passedOver = new Set(failing.toSorted((a, b) => b.failuresInRow - a.failuresInRow).slice(0, Math.floor(left.length * MAX_PASSED_OVER_SHARE)));
	return left.filter(target => !passedOver.has(target));
};

/** Whether any target is left for the request, now or later. */
export const hasTargetLeft = (ask: PlacedAsk, ctx: ChoiceContext): boolean => untried(ask, ctx).length > 0;

/** The best target that can start the request now. */
export const chooseTarget = (ask: PlacedAsk, ctx: ChoiceContext): Candidate | undefined => {
	const keys = ask.prompt ? sharedKeys(ask.prompt) : [];
	const keeper = keeperOf(ask, keys, ctx);
	const sharedTokens = ask.prompt?.parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0) ?? 0;
	let best: Candidate | undefined;
	for (const target of untried(ask, ctx)) {
		const others = othersAt(target, ctx);
		if (!hasRoom(target, others, ask, ctx) || !ctx.hasColdRoom(target)) {
			continue;
		}

		const candidate = candidateAt(target, {
			ask, keys, sharedTokens, keeper, others,
		}, ctx);
		if (startsInTime(ask, candidate.reason, candidate.newTokens / ctx.tokensPerMs, ctx.givesWay) && (!best || candidate.price < best.price)) {
			best = candidate;
		}
	}

	return best;
};
