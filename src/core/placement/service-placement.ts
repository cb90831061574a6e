/**
 * Chooses targets for the requests of one service. Each VM decides by itself, from the requests
 * that it has sent, the load reports of the other VMs and the load figures in responses. A
 * request that no target can start now is queued (`service-queue.ts`). The team with the least
 * recent usage is dispatched first, and a team whose usage is far above that of a team queued
 * at another VM waits for it.
 */
import {type RoutedService} from '../routing/types.js';
import {type FleetLoads, type TeamLoad} from './fleet-loads.js';
import {createResponseTime} from './response-time.js';
import {coldLimit} from './cold-limit.js';
import {planExchange} from './exchange-plan.js';
import {
	type LeavingTarget, type ObservedLoad, type PlacementEffect, type PlacementMessage, type TeamFigures,
} from './messages.js';
import {createLateAttempts} from './late-attempts.js';
import {KnownTargets} from './known-targets.js';
import {type TargetView} from './target-view.js';
import {
	createPrefixCacheEstimate, sentPromptOf, type PrefixCacheEstimate, type SentPrompt,
} from './prefix-cache-estimate.js';
import {createPrefillRate, type PrefillRate} from './prefill-rate.js';
import {type OutgoingMessage, type PeerMessage} from './peer-messages.js';
import {promptCost} from './prompt-cost.js';
import {Reservations, type ReserveResult} from './reservations.js';
import {createSentPrompts} from './sent-prompts.js';
import {ServiceQueue, type QueueRejection, type Tier} from './service-queue.js';
import {ORDINARY_PRECEDENCE, type Precedence} from './start-limits.js';
import {
	chooseTarget, hasTargetLeft, shortestBackOffMs, countUnavailable, type Candidate, type ChoiceContext,
} from './target-choice.js';
import {noteEnd, noteObservation, type ObservationContext} from './target-observations.js';
import {TeamShares} from './team-shares.js';
import {type FleetBounds, type PlacementRequest} from './types.js';
import {plainInTimeShare, reservedInTimeShare} from './waiting-times.js';

/** Bounds in milliseconds of the Retry-After that is computed from the prefill backlog. It is used in small fleets, and in large ones while the drain rate of a queue is unknown. */
const MIN_RETRY_AFTER_MS = 300;
const MAX_RETRY_AFTER_MS = 2000;
/** Milliseconds for which a request must have waited before its team is reported as waiting to the other VMs. */
const MIN_REPORTED_WAIT_MS = 60;
/** Retry-After in milliseconds while no target is left for a request. */
const NO_TARGET_RETRY_AFTER_MS = 1000;

type Message<Kind extends PlacementMessage['kind']> = Extract<PlacementMessage, {kind: Kind}>;

export type ServicePlacementOptions = {
	readonly service: RoutedService;
	readonly bounds: FleetBounds;
	/** Name of this VM; `vms` returns the names of all VMs, this one included. */
	readonly vm: string;
	readonly vms: () => readonly string[];
	readonly dataCentre: string;
	readonly createGrantId: () => string;
	/** Returns a random number, uniform in [0, 1). */
	readonly random: () => number;
	/** Loads that the other VMs report. */
	readonly fleet: FleetLoads;
	/** Whether this VM is overloaded, so that it refuses a share of its requests. */
	readonly isVmOverloaded: () => boolean;
};

/** Returns what a request adds to its team's usage; a request without a prompt counts 1. */
const costOf = ({prompt}: PlacementRequest): number => prompt ? promptCost(prompt) : 1;

/** Returns the tokens of a prompt after its shared prefix. */
const unsharedTokens = ({tokens, parts}: NonNullable<PlacementRequest['prompt']>): number =>
	parts.slice(0, -1).reduce((remaining, part) => remaining - part.tokens, tokens);

const peerEffects = (outgoing: readonly OutgoingMessage[]): readonly PlacementEffect[] => outgoing.map(({vm, message}) => ({kind: 'tell-peer', vm, message}));

export class ServicePlacement {
	#service: RoutedService;
	readonly #options: ServicePlacementOptions;
	readonly #knownTargets: KnownTargets;
	readonly #queue: ServiceQueue;
	readonly #shares: TeamShares;
	readonly #prefixCaches: PrefixCacheEstimate = createPrefixCacheEstimate(() => this.#service.engine?.kvCapacityTokens ?? 0);
	readonly #prefillRate: PrefillRate = createPrefillRate();
	readonly #responseTime = createResponseTime();
	#warmTargets: readonly TargetView[] = [];
	#preferredByPrefix = new Map<number, readonly TargetView[]>();
	readonly #sentPrompts = createSentPrompts();
	readonly #reservations: Reservations;

	constructor(options: ServicePlacementOptions) {
		this.#options = options;
		this.#service = options.service;
		this.#knownTargets = new KnownTargets(() => ({coldStartMs: this.#service.coldStartMs, heartbeatMs: options.bounds.heartbeatMs}));
		this.#shares = new TeamShares({
			service: options.service.name, fleet: options.fleet, capacityPerS: () => this.#service.tokensPerS,
		});
		this.#reservations = new Reservations({
			vm: options.vm, vms: options.vms, service: () => this.#service, targetOf: id => this.#knownTargets.get(id),
		});
		this.#queue = new ServiceQueue({
			isTiered: () => this.#isLargeFleet(),
			inTimeShareOf: request => this.#inTimeShareOf(request),
			firstChunkMsOf: request => this.#firstChunkMsOf(request),
			costOf,
			usageOf: (team, nowMs) => this.#shares.usageOf(team, nowMs),
			random: options.random,
		});
	}

	/** Targets of the service, with what this VM knows of them. */
	get knownTargets(): KnownTargets {
		return this.#knownTargets;
	}

	/** Number of queued requests. */
	get waiting(): number {
		return this.#queue.size;
	}

	get waitingByTier(): Readonly<Record<Tier, number>> {
		return {'in-time': this.#queue.sizeOf('in-time'), late: this.#queue.sizeOf('late')};
	}

	/** Whether requests are in line for a target that this VM owns. */
	get hasLines(): boolean {
		return this.#reservations.hasLines;
	}

	/** Returns the usage and demand of each team at this VM, and whether it has waiting requests, for the report to the other VMs. */
	teamLoads(nowMs: number): readonly TeamLoad[] {
		const sums = this.#shares.localSums(nowMs);
		const teams = new Set(sums.keys());
		const waiting = new Set<string>();
		for (const {team, requests} of this.#queue.waiting()) {
			teams.add(team);
			// Shorter waits occur without a lack of capacity.
			if (requests.some(({request}) => nowMs - request.arrivedMs > MIN_REPORTED_WAIT_MS)) {
				waiting.add(team);
			}
		}

		return [...teams].map(team => ({
			service: this.#service.name, team, ...(sums.get(team) ?? {use: 0, asked: 0}), waits: waiting.has(team),
		}));
	}

	/** Returns the prompts that were sent since the last call, for the report to the other VMs. */
	takeSentPrompts(): readonly SentPrompt[] {
		return this.#sentPrompts.take();
	}

	/** Handles one message; returns what the caller has to carry out. Queued requests are started by a later `tick`. */
	handle(message: PlacementMessage, nowMs: number): readonly PlacementEffect[] {
		switch (message.kind) {
			case 'service': {
				this.#service = message.service;
				return [];
			}

			case 'target':
			case 'target-gone':
			case 'data-centres-out':
			case 'observed-elsewhere':
			case 'leaving-elsewhere':
			case 'unreachable':
			case 'targets-current': {
				for (const id of this.#knownTargets.handle(message, nowMs)) {
					this.#prefixCaches.forget(id);
					this.#reservations.forget(id);
				}

				return this.#rejectWithoutTarget(nowMs);
			}

			case 'ask': {
				return this.#onRequest(message.request, nowMs);
			}

			case 'withdraw': {
				this.#queue.remove(message.requestId);
				return this.#sendToOwners(this.#reservations.withdraw(message.requestId), nowMs);
			}

			case 'end': {
				this.#onEnd(message, nowMs);
				return this.#sendToOwners(this.#reservations.noteProgress(message.grantId, true, nowMs), nowMs);
			}

			case 'observe': {
				this.#onObserve(message, nowMs);
				return message.observation.kind === 'first-token' ? this.#sendToOwners(this.#reservations.noteProgress(message.grantId, false, nowMs), nowMs) : [];
			}

			case 'sent-elsewhere': {
				if (this.#knownTargets.get(message.sent.target)) {
					this.#prefixCaches.noteSent(message.sent, nowMs);
				}

				return [];
			}

			case 'peer': {
				return this.#onPeer(message.from, message.message, nowMs);
			}

			case 'tick': {
				return this.#onTick(nowMs);
			}
		}
	}

	#onTick(nowMs: number): readonly PlacementEffect[] {
		const overdue = this.#reservations.hasPending ? this.#placeOverdue(nowMs) : [];
		const served = this.#reservations.hasLines ? this.#sendToOwners(this.#reservations.serveLines(nowMs), nowMs) : [];
		return this.#queue.isEmpty ? [...overdue, ...served] : [...overdue, ...served, ...this.#expire(nowMs), ...this.#dispatch(nowMs)];
	}

	/** Starts a request at once if no queued request has precedence over it, else queues or rejects it. */
	#onRequest(request: PlacementRequest, nowMs: number): readonly PlacementEffect[] {
		const ctx = this.#context(nowMs);
		if (request.tried.length === 0) {
			this.#shares.noteArrival(request.team, costOf(request), nowMs);
			this.#queue.noteArrival(request, nowMs);
		}

		if (!hasTargetLeft(request, ctx)) {
			return [{
				kind: 'reject', request, reason: 'no-target', retryAfterMs: shortestBackOffMs(request, ctx) ?? NO_TARGET_RETRY_AFTER_MS, precedence: ORDINARY_PRECEDENCE, teamFigures: this.#teamFigures(request, nowMs), ...this.#reservations.noteRejected(request.requestId),
			}];
		}

		const tier = this.#queue.tierOf(request, nowMs);
		if (this.#mayStartAtOnce(tier) && !this.#queue.isTooLate(request, nowMs) && this.#shares.usageOf(request.team, nowMs) <= this.#usageCeiling(nowMs)) {
			const effects = this.#tryStart(request, this.#precedence(request, tier, nowMs), ctx);
			if (effects) {
				return effects;
			}
		}

		const refused = this.#queue.admit(request, nowMs);
		return refused ? [this.#reject(refused, ctx)] : [];
	}

	/** Whether a request may start before those that are queued here. Where capacity is reserved, the owners of the targets decide on the order. */
	#mayStartAtOnce(tier: Tier): boolean {
		return this.#queue.isEmptyUpTo(tier) || (tier === 'in-time' && this.#usesReservations());
	}

	#precedence(request: PlacementRequest, tier: Tier, nowMs: number): Precedence {
		return {
			givesWay: this.#shares.isBeyondShare(request.team, nowMs) || this.#queue.givesWay(request, tier, nowMs),
			isLate: tier === 'late',
			priority: this.#queue.priorityOf(request, nowMs),
		};
	}

	/** Starts a request or sends a reservation request for it; undefined when no target accepts it now. */
	#tryStart(request: PlacementRequest, precedence: Precedence, ctx: ChoiceContext): readonly PlacementEffect[] | undefined {
		while (!this.#reservations.isPaused(request, ctx.nowMs)) {
			const candidate = chooseTarget(request, precedence, ctx);
			if (!candidate) {
				return undefined;
			}

			const grantId = this.#options.createGrantId();
			const result = ctx.needsReservation && request.prompt ? this.#reservations.reserve(grantId, request, {candidate, precedence}, ctx.nowMs) : undefined;
			if (!result || (result.kind === 'unowned' && candidate.canStartInTime)) {
				return [this.#grant(grantId, request, candidate, ctx.nowMs)];
			}

			if (result.kind === 'granted') {
				return [this.#grant(grantId, request, result.candidate, ctx.nowMs)];
			}

			if (result.kind === 'asked') {
				return peerEffects([result.outgoing]);
			}

			if (result.kind === 'waits') {
				return [];
			}

			if (result.kind === 'unowned') {
				return undefined;
			}
		}

		return undefined;
	}

	/** Sends reservation messages to the owners of targets; handles those to this VM at once. */
	#sendToOwners(outgoing: readonly OutgoingMessage[], nowMs: number): readonly PlacementEffect[] {
		return outgoing.flatMap(entry => entry.vm === this.#options.vm ? this.#onPeer(entry.vm, entry.message, nowMs) : peerEffects([entry]));
	}

	#onPeer(from: string, message: PeerMessage, nowMs: number): readonly PlacementEffect[] {
		switch (message.kind) {
			case 'request': {
				const answer = this.#reservations.onRequest(from, message.wish, nowMs);
				return answer ? peerEffects([answer]) : [];
			}

			case 'progress': {
				return this.#sendToOwners(this.#reservations.onProgress(message, nowMs), nowMs);
			}

			case 'answer': {
				const replied = this.#reservations.onReply(from, message, nowMs);
				if (!replied) {
					return [];
				}

				return 'request' in replied ? this.#onReservationResult(message.id, replied, nowMs) : peerEffects([replied]);
			}
		}
	}

	#onReservationResult(grantId: string, {request, result}: {readonly request: PlacementRequest; readonly result: ReserveResult}, nowMs: number): readonly PlacementEffect[] {
		if (result.kind === 'waits') {
			return [];
		}

		const ctx = this.#context(nowMs);
		if (result.kind !== 'granted') {
			return this.#startOrRequeue(request, ctx);
		}

		if (this.#mayStillStart(result.candidate, ctx) && !this.#queue.isTooLate(request, nowMs)) {
			return [this.#grant(grantId, request, result.candidate, nowMs)];
		}

		return [...this.#sendToOwners(this.#reservations.noteProgress(grantId, true, nowMs), nowMs), ...this.#startOrRequeue(request, ctx)];
	}

	/** Attempts to start a request again, unless queued requests have precedence over it by now; requeues it if it doesn't start. */
	#startOrRequeue(request: PlacementRequest, ctx: ChoiceContext): readonly PlacementEffect[] {
		const {nowMs} = ctx;
		const tier = this.#queue.tierOf(request, nowMs);
		const mayStart = (tier === 'in-time' || this.#queue.isEmptyUpTo(tier)) && !this.#queue.isTooLate(request, nowMs);
		const effects = mayStart ? this.#tryStart(request, this.#precedence(request, tier, nowMs), ctx) : undefined;
		if (effects) {
			return effects;
		}

		if (tier === 'late' && this.#reservations.hasMissedTurns(request)) {
			const refused = this.#queue.admit(request, nowMs);
			return refused ? [this.#reject(refused, ctx)] : [];
		}

		this.#queue.add(request, nowMs);
		return [];
	}

	/** Whether a target that was chosen some milliseconds ago may still get the request: it may have become unavailable, or got other requests meanwhile. */
	#mayStillStart({target}: Candidate, ctx: ChoiceContext): boolean {
		return ctx.targets.includes(target) && target.backOffMs(ctx.nowMs) === 0 && ctx.hasColdCapacity(target);
	}

	/** Starts the requests whose reservations were not completed in time, if this VM's own figures allow it, and requeues the others. */
	#placeOverdue(nowMs: number): readonly PlacementEffect[] {
		const effects: PlacementEffect[] = [];
		const ctx = this.#context(nowMs);
		for (const {id, request, candidate, isGranted} of this.#reservations.takeTimedOut(nowMs)) {
			if ((isGranted || candidate.canStartInTime) && this.#mayStillStart(candidate, ctx) && !this.#queue.isTooLate(request, nowMs)) {
				effects.push(this.#grant(id, request, candidate, nowMs));
			} else {
				effects.push(...this.#sendToOwners(this.#reservations.noteProgress(id, true, nowMs), nowMs));
				this.#queue.add(request, nowMs);
			}
		}

		return effects;
	}

	#onEnd(message: Message<'end'>, nowMs: number): void {
		const target = this.#knownTargets.get(message.target);
		if (target) {
			noteEnd(target, message, this.#observationContext(nowMs));
		}

		if (message.result.kind === 'answered') {
			this.#responseTime.note(message.result.answerMs);
		}
	}

	#onObserve(message: Message<'observe'>, nowMs: number): void {
		const target = this.#knownTargets.get(message.target);
		if (target) {
			noteObservation(target, message, this.#observationContext(nowMs));
		}
	}

	#observationContext(nowMs: number): ObservationContext {
		return {coldStartMs: this.#service.coldStartMs, prefillRate: this.#prefillRate, nowMs};
	}

	/** Whether the fleet is so large that the load reports received here are only a sample. */
	#isLargeFleet(): boolean {
		return !planExchange(this.#options.vms().length - 1).isFullMesh;
	}

	/** Whether capacity at model engines is reserved with the owners of the targets, because load reports are only a sample. */
	#usesReservations(): boolean {
		return this.#service.engine !== undefined && this.#isLargeFleet();
	}

	/**
	 * Returns the usage beyond which a team waits for teams that are queued at other VMs. Where
	 * reservations are used, this is infinite: in a large fleet, some team always waits at some
	 * VM for one particular engine, and holding back all others for it would leave the other
	 * engines idle. In such a fleet, a team beyond its fair share yields to other teams instead.
	 */
	#usageCeiling(nowMs: number): number {
		return this.#usesReservations() ? Infinity : this.#shares.usageCeiling(nowMs);
	}

	#context(nowMs: number): ChoiceContext {
		const {dataCentre, fleet, random, bounds, vm} = this.#options;
		const vms = this.#options.vms();
		const {coldPerS} = this.#service;
		const {isFullMesh} = planExchange(vms.length - 1);
		const {newTokens, heldTokens} = this.#sentPrompts.averages();
		const targets = this.#knownTargets.usable();
		const warmTargets = targets.filter(target => !target.isCold(nowMs));
		if (warmTargets.length !== this.#warmTargets.length || warmTargets.some((target, index) => target !== this.#warmTargets[index])) {
			this.#warmTargets = warmTargets;
			this.#preferredByPrefix = new Map();
		}

		return {
			service: this.#service,
			dataCentre,
			targets,
			warmTargets,
			preferredByPrefix: this.#preferredByPrefix,
			prefixCaches: this.#prefixCaches,
			fleet,
			hasAllReports: isFullMesh && fleet.reportingVms + 1 >= vms.length,
			isSampled: !isFullMesh,
			// An overloaded VM has little time for reservation requests. Where no lines are, its requests take nobody's turn; a reply a second shows that.
			needsReservation: this.#usesReservations() && !(this.#options.isVmOverloaded() && this.#reservations.hasRareLines(nowMs)),
			mayWait: (request, precedence) => this.#reservations.mayWait(request, precedence, nowMs),
			lineWaitMs: target => this.#reservations.lineWaitMs(target.record.id, nowMs),
			hasDeclined: (target, wish) => this.#reservations.hasDeclined(target.record.id, wish, nowMs),
			copyableTokensOf: keys => this.#reservations.copyableTokens(keys, nowMs),
			random,
			tokensPerMs: this.#prefillRate.tokensPerMs(),
			averageNewTokens: newTokens,
			averageHeldTokens: heldTokens,
			hasColdCapacity: target => coldPerS === 0 || !target.isCold(nowMs) || target.hasColdCapacity(coldLimit(target.record.id, {
				bounds, coldPerS, vm, vms,
			}), nowMs),
			nowMs,
		};
	}

	/** Starts the queued requests that can start now. */
	#dispatch(nowMs: number): readonly PlacementEffect[] {
		if (!this.#queue.isDue(nowMs)) {
			return [];
		}

		const effects: PlacementEffect[] = [];
		const ctx = this.#context(nowMs);
		const lateAttempts = createLateAttempts(ctx.needsReservation);
		this.#queue.dispatch({
			usageCeiling: this.#usageCeiling(nowMs),
			isPaused: request => this.#reservations.isPaused(request, nowMs),
			tryStart: (request, tier) => {
				if (tier === 'late' && !lateAttempts.mayAttempt()) {
					return false;
				}

				const started = this.#tryStart(request, this.#precedence(request, tier, nowMs), ctx);
				effects.push(...started ?? []);
				if (tier === 'late') {
					lateAttempts.record(started !== undefined);
				}

				return started !== undefined;
			},
		}, nowMs);
		return effects;
	}

	#grant(grantId: string, request: PlacementRequest, {target, keys, newTokens, averageMs, figures}: Candidate, nowMs: number): PlacementEffect {
		const {prompt} = request;
		target.place(grantId, {
			newTokens, heldTokens: prompt ? prompt.tokens + prompt.outputTokens : 0, isReading: prompt !== undefined, sentMs: nowMs, predictedMs: averageMs,
		}, nowMs);
		if (prompt) {
			const sent = sentPromptOf(target.record.id, prompt, keys);
			this.#prefixCaches.noteSent(sent, nowMs);
			this.#sentPrompts.note(sent, prompt, newTokens);
		}

		const teamFigures = this.#teamFigures(request, nowMs);
		const effort = this.#reservations.noteStarted(request);
		this.#shares.noteStarted(request.team, costOf(request), nowMs);
		const queue = this.#queue.noteStarted(request, nowMs);
		return {
			kind: 'grant', request, grantId, target: target.record, details: figures, teamFigures, effort, ...(queue && {queue}),
		};
	}

	#teamFigures({team}: PlacementRequest, nowMs: number): TeamFigures {
		return {team, usage: this.#shares.usageOf(team, nowMs), shareUsage: this.#shares.shareUsage(nowMs)};
	}

	#expire(nowMs: number): readonly PlacementEffect[] {
		const rejected = this.#queue.expire(nowMs);
		if (rejected.length === 0) {
			return [];
		}

		const ctx = this.#context(nowMs);
		return rejected.map(rejection => this.#reject(rejection, ctx));
	}

	/** Rejects, in a large fleet, the queued requests that have no target left. In a small fleet a target may return before their wait ends. */
	#rejectWithoutTarget(nowMs: number): readonly PlacementEffect[] {
		if (!this.#isLargeFleet() || this.#queue.isEmpty) {
			return [];
		}

		const ids = this.#knownTargets.usable().map(({record}) => record.id);
		return this.#queue.removeAll(({tried}) => ids.every(id => tried.includes(id))).map(({request, queue}) => ({
			kind: 'reject', request, reason: 'no-target', retryAfterMs: NO_TARGET_RETRY_AFTER_MS, precedence: ORDINARY_PRECEDENCE, teamFigures: this.#teamFigures(request, nowMs),
			...this.#reservations.noteRejected(request.requestId), ...(queue && {queue}),
		}));
	}

	#reject({request, reason, queue}: QueueRejection, ctx: ChoiceContext): PlacementEffect {
		const precedence = this.#precedence(request, queue?.tier ?? 'in-time', ctx.nowMs);
		return {
			kind: 'reject', request, reason, precedence, teamFigures: this.#teamFigures(request, ctx.nowMs), retryAfterMs: this.#retryAfterMs(request, ctx.nowMs), unavailable: countUnavailable(request, precedence, ctx),
			...this.#reservations.noteRejected(request.requestId), ...(queue && {queue}),
		};
	}

	#inTimeShareOf(request: PlacementRequest): number | undefined {
		if (!this.#isLargeFleet()) {
			return undefined;
		}

		// Two owners have said that its turn comes too late, so it counts as late at once.
		if (this.#reservations.hasMissedTurns(request)) {
			return 0;
		}

		if (this.#service.engine) {
			return request.prompt && reservedInTimeShare(this.#reservations.ownPrefillMs(request), request);
		}

		return plainInTimeShare(this.#responseTime.upperEstimateMs(), request);
	}

	/**
	 * Returns the expected milliseconds until the first chunk of a request's response. For a
	 * prompt, this is its own prefill time, estimated by the last owner that declined it or else
	 * with the shared prefix cached; for a service without a model engine, the mean response time.
	 */
	#firstChunkMsOf(request: PlacementRequest): number {
		const {prompt} = request;
		if (prompt) {
			return this.#reservations.ownPrefillMs(request) || unsharedTokens(prompt) / this.#prefillRate.tokensPerMs();
		}

		return this.#service.engine ? 0 : this.#responseTime.meanMs();
	}

	/** Returns the Retry-After of a refused request in milliseconds. In a small fleet, this is the average time that a target needs to prefill the prompts that it was sent. In a large fleet, it follows from the drain rate of the queue. */
	#retryAfterMs(request: PlacementRequest, nowMs: number): number {
		const targets = this.#knownTargets.all();
		const tokens = targets.reduce((sum, target) => sum + target.readingTokens, 0) / Math.max(1, targets.length);
		const backlogMs = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, tokens / this.#prefillRate.tokensPerMs()));
		return this.#isLargeFleet() ? this.#queue.retryAfterMs(request, backlogMs, nowMs) : backlogMs;
	}
}
