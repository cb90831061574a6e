/**
 * Places the requests of one service on its targets. Every VM decides alone, on what it
 * sent itself, what the other VMs report and what answers tell. Requests that no target
 * can start in time wait; the team that received least lately goes first, here and
 * before teams of other VMs that received more.
 */
import {type RoutedService} from '../routing/types.js';
import {type FleetLoads, type TeamLoad} from './fleet-loads.js';
import {coldLimit} from './cold-limit.js';
import {planExchange} from './exchange-plan.js';
import {
	type LeavingTarget, type ObservedLoad, type PlacementEffect, type PlacementMessage,
} from './messages.js';
import {KnownTargets} from './known-targets.js';
import {type PlacedTarget} from './placed-target.js';
import {createPromptRecord, type PromptRecord, type SentPrompt} from './prompt-record.js';
import {createReadRate, type ReadRate} from './read-rate.js';
import {
	Reservations, type Outgoing, type PeerMessage, type ReserveResult,
} from './reservations.js';
import {createSentPrompts} from './sent-prompts.js';
import {
	chooseTarget, hasTargetLeft, heldOffMs, whyClosed, type Candidate, type ChoiceContext,
} from './target-choice.js';
import {TeamQueues} from './team-queues.js';
import {TeamShares} from './team-shares.js';
import {type FleetBounds, type PlacedAsk} from './types.js';

/** Part of the target latency for which a request waits before it is refused. */
const WAIT_SHARE = 0.6;
/**
 * Parts for a prompt for which room is reserved: until then it may start, with the time that
 * its own reading takes, and it waits for the least part in any case. One that can't be in
 * time any more is refused then, not later, so that its caller can come back.
 */
const RESERVED_START_SHARE = 0.75;
const RESERVED_MIN_WAIT_SHARE = 0.3;
/** The same for a request whose caller has part of the answer: the rest is late already, and callers wait longer in mid-answer. */
const RESUME_WAIT_SHARE = 2;
/** Asks of one team that are looked at in one round; the first that can start does. */
const LOOK_AHEAD = 4;
/** Milliseconds after which a waiting team is reported to the other VMs. */
const WAITS_AFTER_MS = 60;
/** Retry-After bounds in milliseconds. */
const MIN_RETRY_AFTER_MS = 300;
const MAX_RETRY_AFTER_MS = 2000;
/** What is told when no target is known. */
const NO_TARGET_RETRY_AFTER_MS = 1000;

type Message<Kind extends PlacementMessage['kind']> = Extract<PlacementMessage, {kind: Kind}>;

export type ServicePlacementOptions = {
	readonly service: RoutedService;
	readonly bounds: FleetBounds;
	/** Name of this VM and of all VMs, this one included. */
	readonly vm: string;
	readonly vms: () => readonly string[];
	readonly dataCentre: string;
	readonly createGrantId: () => string;
	/** Uniform in [0, 1). */
	readonly random: () => number;
	/** What the other VMs report. */
	readonly fleet: FleetLoads;
	/** Whether this VM is behind its work. */
	readonly isBehind: () => boolean;
};

/** Cost of a request for its team's share: a token read counts once, a token generated twice. */
const costOf = ({prompt}: PlacedAsk): number => prompt ? prompt.tokens + (2 * prompt.outputTokens) : 1;

/** Reading of the clock at which a request that still waits is refused. `share` is that of the target latency for a request that has not begun. */
const waitEndMs = ({deadlineMs, arrivedMs, targetLatencyMs, isResumed}: PlacedAsk, share: number): number =>
	Math.min(deadlineMs, arrivedMs + (targetLatencyMs * (isResumed ? RESUME_WAIT_SHARE : share)));

const toPeers = (outgoing: readonly Outgoing[]): readonly PlacementEffect[] => outgoing.map(({vm, message}) => ({kind: 'tell-peer', vm, message}));

export class ServicePlacement {
	#service: RoutedService;
	readonly #options: ServicePlacementOptions;
	readonly #known: KnownTargets;
	readonly #queues = new TeamQueues();
	readonly #shares: TeamShares;
	readonly #prompts: PromptRecord = createPromptRecord(() => this.#service.engine?.kvCapacityTokens ?? 0);
	readonly #readRate: ReadRate = createReadRate();
	#homes: readonly PlacedTarget[] = [];
	#homesOfPrompt = new Map<number, readonly PlacedTarget[]>();
	readonly #sent = createSentPrompts();
	readonly #reservations: Reservations;

	constructor(options: ServicePlacementOptions) {
		this.#options = options;
		this.#service = options.service;
		this.#known = new KnownTargets(() => ({coldStartMs: this.#service.coldStartMs, heartbeatMs: options.bounds.heartbeatMs}));
		this.#shares = new TeamShares({
			service: options.service.name, fleet: options.fleet, capacityPerS: () => this.#service.tokensPerS,
		});
		this.#reservations = new Reservations({
			vm: options.vm, vms: options.vms, service: () => this.#service, targetOf: id => this.#known.get(id),
		});
	}

	/** The targets of the service. */
	get known(): KnownTargets {
		return this.#known;
	}

	/** Asks that wait. */
	get waiting(): number {
		return this.#queues.size;
	}

	/** What this VM reports of its teams. */
	teamLoads(nowMs: number): readonly TeamLoad[] {
		const sums = this.#shares.own(nowMs);
		const teams = new Set([...sums.keys(), ...this.#queues.teams()]);
		return [...teams].map(team => ({
			service: this.#service.name, team, ...(sums.get(team) ?? {use: 0, asked: 0}), waits: this.#hasWaited(team, nowMs),
		}));
	}

	/** Prompts that were sent since the last call, for the report to the other VMs. */
	takeSentPrompts(): readonly SentPrompt[] {
		return this.#sent.take();
	}

	/** Handles one message. Asks that have to wait start at a later `tick`. */
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
				for (const id of this.#known.handle(message, nowMs)) {
					this.#prompts.forget(id);
					this.#reservations.forget(id);
				}

				return [];
			}

			case 'ask': {
				return this.#onAsk(message.ask, nowMs);
			}

			case 'withdraw': {
				this.#queues.remove(ask => ask.requestId === message.requestId);
				return this.#tellOwners(this.#reservations.withdraw(message.requestId), nowMs);
			}

			case 'end': {
				this.#onEnd(message, nowMs);
				return this.#tellOwners(this.#reservations.noteProgress(message.grantId, true, nowMs), nowMs);
			}

			case 'observe': {
				this.#onObserve(message, nowMs);
				return message.observation.kind === 'first-token' ? this.#tellOwners(this.#reservations.noteProgress(message.grantId, false, nowMs), nowMs) : [];
			}

			case 'sent-elsewhere': {
				if (this.#known.get(message.sent.target)) {
					this.#prompts.noteSent(message.sent, nowMs);
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
		const overdue = this.#reservations.isWaiting ? this.#onOverdue(nowMs) : [];
		return this.#queues.isEmpty ? overdue : [...overdue, ...this.#expire(nowMs), ...this.#dispatch(nowMs)];
	}

	/** Starts the ask at once when nothing waits, else lets it wait for its turn. */
	#onAsk(ask: PlacedAsk, nowMs: number): readonly PlacementEffect[] {
		const ctx = this.#context(nowMs);
		if (ask.tried.length === 0) {
			this.#shares.noteAsked(ask.team, costOf(ask), nowMs);
		}

		if (!hasTargetLeft(ask, ctx)) {
			return [{
				kind: 'reject', ask, reason: 'no-target', retryAfterMs: heldOffMs(ask, ctx) ?? NO_TARGET_RETRY_AFTER_MS, givesWay: false,
			}];
		}

		if (this.#queues.isEmpty && this.#shares.useOf(ask.team, nowMs) <= this.#useCeiling(nowMs)) {
			const effects = this.#tryStart(ask, this.#shares.isBeyondShare(ask.team, nowMs), ctx);
			if (effects) {
				return effects;
			}
		}

		this.#queues.add(ask);
		return [];
	}

	/** Starts an ask or asks for room for it; undefined when no target takes it now. */
	#tryStart(ask: PlacedAsk, givesWay: boolean, ctx: ChoiceContext): readonly PlacementEffect[] | undefined {
		while (!this.#reservations.isPaused(ask, ctx.nowMs)) {
			const candidate = chooseTarget(ask, givesWay, ctx);
			if (!candidate) {
				return undefined;
			}

			const grantId = this.#options.createGrantId();
			const result = ctx.isReserved && ask.prompt ? this.#reservations.reserve(grantId, ask, candidate, ctx.nowMs) : undefined;
			if (!result || (result.kind === 'unowned' && candidate.fits)) {
				return [this.#grant(grantId, ask, candidate, ctx.nowMs)];
			}

			if (result.kind === 'granted') {
				return [this.#grant(grantId, ask, result.candidate, ctx.nowMs)];
			}

			if (result.kind === 'asked') {
				return toPeers([result.outgoing]);
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

	/** Messages of reservations, of which some may be to this VM. */
	#tellOwners(outgoing: readonly Outgoing[], nowMs: number): readonly PlacementEffect[] {
		return outgoing.flatMap(one => one.vm === this.#options.vm ? this.#onPeer(one.vm, one.message, nowMs) : toPeers([one]));
	}

	#onPeer(from: string, message: PeerMessage, nowMs: number): readonly PlacementEffect[] {
		switch (message.kind) {
			case 'request': {
				const answer = this.#reservations.onRequest(from, message.wish, nowMs);
				return answer ? toPeers([answer]) : [];
			}

			case 'progress': {
				return this.#tellOwners(this.#reservations.onProgress(message, nowMs), nowMs);
			}

			case 'answer': {
				const answered = this.#reservations.onAnswer(from, message, nowMs);
				if (!answered) {
					return [];
				}

				return 'ask' in answered ? this.#onAnswered(message.id, answered, nowMs) : toPeers([answered]);
			}
		}
	}

	#onAnswered(grantId: string, {ask, result}: {readonly ask: PlacedAsk; readonly result: ReserveResult}, nowMs: number): readonly PlacementEffect[] {
		if (result.kind === 'waits') {
			return [];
		}

		const ctx = this.#context(nowMs);
		if (result.kind === 'granted') {
			return this.#mayStillStart(result.candidate, ctx)
				? [this.#grant(grantId, ask, result.candidate, nowMs)]
				: [...this.#tellOwners(this.#reservations.noteProgress(grantId, true, nowMs), nowMs), ...this.#retry(ask, ctx)];
		}

		return this.#retry(ask, ctx);
	}

	#retry(ask: PlacedAsk, ctx: ChoiceContext): readonly PlacementEffect[] {
		const effects = this.#tryStart(ask, this.#shares.isBeyondShare(ask.team, ctx.nowMs), ctx);
		if (!effects) {
			this.#queues.add(ask);
		}

		return effects ?? [];
	}

	/** Whether a target that was chosen some milliseconds ago may still get the request: others may have gone there meanwhile. */
	#mayStillStart({target}: Candidate, ctx: ChoiceContext): boolean {
		return ctx.targets.includes(target) && target.heldOffMs(ctx.nowMs) === 0 && ctx.hasColdRoom(target);
	}

	/** Requests whose owners did not answer are placed by what is known here. */
	#onOverdue(nowMs: number): readonly PlacementEffect[] {
		const effects: PlacementEffect[] = [];
		const ctx = this.#context(nowMs);
		for (const {id, ask, candidate, isGranted} of this.#reservations.takeOverdue(nowMs)) {
			if ((isGranted || candidate.fits) && this.#mayStillStart(candidate, ctx)) {
				effects.push(this.#grant(id, ask, candidate, nowMs));
			} else {
				effects.push(...this.#tellOwners(this.#reservations.noteProgress(id, true, nowMs), nowMs));
				this.#queues.add(ask);
			}
		}

		return effects;
	}

	#onEnd({grantId, target: id, result}: Message<'end'>, nowMs: number): void {
		const target = this.#known.get(id);
		if (!target) {
			return;
		}

		target.end(grantId);
		// What a target says of the time to come back is no fault of it.
		const isHeldOff = result.kind === 'overloaded' && target.heldOffMs(nowMs) > 0;
		if (result.kind === 'failed' || (result.kind === 'overloaded' && !isHeldOff)) {
			target.noteFailed(nowMs);
		} else if (result.kind === 'answered') {
			target.noteAnswered();
			target.noteAlive(this.#service.coldStartMs, nowMs);
		}
	}

	#onObserve({grantId, target: id, observation}: Message<'observe'>, nowMs: number): void {
		const target = this.#known.get(id);
		if (!target) {
			return;
		}

		switch (observation.kind) {
			case 'load': {
				target.noteAlive(this.#service.coldStartMs, nowMs);
				target.noteLoad(observation.load, nowMs);
				break;
			}

			case 'first-token': {
				target.noteAlive(this.#service.coldStartMs, nowMs);
				const backlog = target.readingTokens;
				const placed = target.noteFirstToken(grantId, nowMs);
				if (placed) {
					this.#readRate.note(Math.max(placed.newTokens, backlog / 2), nowMs - placed.sentMs);
				}

				break;
			}

			case 'misdirected': {
				target.isMisdirected = true;
				break;
			}

			case 'leaving': {
				target.noteLeaving(nowMs);
				break;
			}

			case 'held-off': {
				target.noteHeldOff(observation.forMs, nowMs);
				break;
			}
		}
	}

	/** Whether loads are a sample, so that room at model engines is reserved. */
	#isReserved(): boolean {
		return this.#service.engine !== undefined && !planExchange(this.#options.vms().length - 1).isWhole;
	}

	/**
	 * Use beyond which a team lets others go first. In a large fleet some team always waits
	 * somewhere for an engine of its own; holding back all others for it leaves the other
	 * engines idle, and a team beyond its share gives way there already.
	 */
	#useCeiling(nowMs: number): number {
		return this.#isReserved() ? Infinity : this.#shares.useCeiling(nowMs);
	}

	#context(nowMs: number): ChoiceContext {
		const {dataCentre, fleet, random, bounds, vm} = this.#options;
		const vms = this.#options.vms();
		const {coldPerS} = this.#service;
		const {isWhole} = planExchange(vms.length - 1);
		const {newTokens, heldTokens} = this.#sent.averages();
		const targets = this.#known.usable();
		const homes = targets.filter(target => !target.isCold(nowMs));
		if (homes.length !== this.#homes.length || homes.some((home, index) => home !== this.#homes[index])) {
			this.#homes = homes;
			this.#homesOfPrompt = new Map();
		}

		return {
			service: this.#service,
			dataCentre,
			targets,
			homes,
			homesOfPrompt: this.#homesOfPrompt,
			prompts: this.#prompts,
			fleet,
			hearsFleet: isWhole && fleet.heard + 1 >= vms.length,
			isSampled: !isWhole,
			// A flooded VM hears enough of all targets itself, and has no time to ask.
			isReserved: this.#isReserved() && !this.#options.isBehind(),
			isClosed: (target, wish) => this.#reservations.isClosed(target.record.id, wish, nowMs),
			copyableOf: keys => this.#reservations.copyableOf(keys, nowMs),
			random,
			tokensPerMs: this.#readRate.tokensPerMs(),
			averageNewTokens: newTokens,
			averageHeldTokens: heldTokens,
			hasColdRoom: target => coldPerS === 0 || !target.isCold(nowMs) || target.hasColdRoom(coldLimit(target.record.id, {
				bounds, coldPerS, vm, vms,
			}), nowMs),
			nowMs,
		};
	}

	/** Starts what can start, the team that received least first. */
	#dispatch(nowMs: number): readonly PlacementEffect[] {
		const effects: PlacementEffect[] = [];
		const ctx = this.#context(nowMs);
		const ceiling = this.#useCeiling(nowMs);
		const uses = new Map([...this.#queues.teams()].map(team => [team, this.#shares.useOf(team, nowMs)]));
		while (uses.size > 0) {
			const use = Math.min(...uses.values());
			const team = [...uses.keys()].find(name => uses.get(name) === use) ?? '';
			const start = use <= ceiling && this.#firstStart(team, ctx);
			if (start) {
				this.#queues.removeOf(team, ask => ask === start.ask);
				effects.push(...start.effects);
				uses.set(team, use + costOf(start.ask));
			}

			if (!start || this.#queues.of(team).length === 0) {
				uses.delete(team);
			}
		}

		return effects;
	}

	#firstStart(team: string, ctx: ChoiceContext): {readonly ask: PlacedAsk; readonly effects: readonly PlacementEffect[]} | undefined {
		const givesWay = this.#shares.isBeyondShare(team, ctx.nowMs);
		for (const ask of this.#queues.of(team).slice(0, LOOK_AHEAD)) {
			const effects = this.#tryStart(ask, givesWay, ctx);
			if (effects) {
				return {ask, effects};
			}
		}

		return undefined;
	}

	/** Whether the team has waited long enough that its wait is no accident of one moment. */
	#hasWaited(team: string, nowMs: number): boolean {
		return this.#queues.of(team).some(ask => nowMs - ask.arrivedMs > WAITS_AFTER_MS);
	}

	#grant(grantId: string, ask: PlacedAsk, {target, keys, newTokens, reason}: Candidate, nowMs: number): PlacementEffect {
		const {prompt} = ask;
		target.place(grantId, {
			newTokens, heldTokens: prompt ? prompt.tokens + prompt.outputTokens : 0, isReading: prompt !== undefined, sentMs: nowMs,
		}, nowMs);
		if (prompt) {
			const sent = {target: target.record.id, keys, newTokens: newTokens + prompt.outputTokens};
			this.#prompts.noteSent(sent, nowMs);
			this.#sent.note(sent, prompt, newTokens);
		}

		this.#reservations.noteStarted(ask);
		this.#shares.noteStarted(ask.team, costOf(ask), nowMs);
		return {
			kind: 'grant', ask, grantId, target: target.record, because: reason,
		};
	}

	#expire(nowMs: number): readonly PlacementEffect[] {
		const isReserved = this.#isReserved();
		const late = this.#queues.remove(ask => nowMs >= waitEndMs(ask, isReserved && ask.prompt ? this.#reservedWaitShare(ask) : WAIT_SHARE));
		if (late.length === 0) {
			return [];
		}

		const ctx = this.#context(nowMs);
		return late.map(ask => {
			const givesWay = this.#shares.isBeyondShare(ask.team, nowMs);
			return {
				kind: 'reject', ask, reason: 'too-late', retryAfterMs: this.#retryAfterMs(), givesWay, closed: whyClosed(ask, givesWay, ctx),
				lastDecline: this.#reservations.takeLastDecline(ask.requestId),
			};
		});
	}

	#reservedWaitShare(ask: PlacedAsk): number {
		return Math.max(RESERVED_MIN_WAIT_SHARE, RESERVED_START_SHARE - (this.#reservations.ownMsOf(ask) / ask.targetLatencyMs));
	}

	/** Time until what is being read now has been read, on average over the targets. */
	#retryAfterMs(): number {
		const targets = this.#known.all();
		const tokens = targets.reduce((sum, target) => sum + target.readingTokens, 0) / Math.max(1, targets.length);
		return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, tokens / this.#readRate.tokensPerMs()));
	}
}
