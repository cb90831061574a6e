/**
 * Places the requests of one service on its targets. Every VM decides alone, on what it
 * sent itself and what answers report; a hash of the shared prompt parts lets all VMs
 * choose the same target for equal prompts without messages. Requests that no target
 * can start in time wait, in the order of their teams' shares.
 */
import {hash32} from '../membership/rendezvous.js';
import {type RoutedService, type TargetRecord} from '../routing/types.js';
import {type FleetLoads, type TargetLoad, type TeamLoad} from './fleet-loads.js';
import {type PlacementEffect, type PlacementMessage, type PlacementReason} from './messages.js';
import {PlacedTarget} from './placed-target.js';
import {createPromptRecord, sharedKeys, type PromptRecord} from './prompt-record.js';
import {createReadRate, type ReadRate} from './read-rate.js';
import {createTeamUse, type TeamUse} from './team-use.js';
import {type FleetBounds, type PlacedAsk} from './types.js';

/** Part of the target latency within which the first token is predicted; the rest is for the way and for errors of the prediction. */
const START_SHARE = 0.55;
/** Part of the target latency that others' prompts may take ahead of one that cannot be in time by itself. */
const LARGE_BACKLOG_SHARE = 0.03;
/** Part of the target latency for which a request waits before it is refused. */
const WAIT_SHARE = 0.6;
/** Part of a model engine's memory that is planned with, since output lengths are only hints. */
const MEMORY_SHARE = 0.85;
/** Milliseconds that one more running request costs the others, as a price when targets are compared. */
const RUNNING_PRICE_MS = 2;
/** Milliseconds that another data centre costs, as a price when targets are compared. */
const OTHER_DATA_CENTRE_PRICE_MS = 3;
/** Milliseconds that copying kept prompt parts costs, as a price: each copy takes memory from other prompts. */
const COPY_PRICE_MS = 60;
/** Prompt tokens below which a copy is not worth its call. */
const MIN_COPY_TOKENS = 500;
/** Largest part of the slots that model requests of all VMs together take. Beyond it tokens come too slowly for long answers to end in time. */
const RUNNING_SHARE = 0.75;
/** Asks of one team that are looked at in one round; the first that can start does. */
const LOOK_AHEAD = 4;
/** Milliseconds after which a waiting team is reported to the other VMs. */
const WAITS_AFTER_MS = 60;
/** How far a team may be ahead of one that waits elsewhere: a factor on its use, and average requests. Reports are some hundred milliseconds old, so a smaller lead would leave capacity idle. */
const LEAD_FACTOR = 1.25;
const LEAD_REQUESTS = 2;
/** Largest part of the targets that is passed over after failures; more would crowd the rest. */
const MAX_PASSED_OVER_SHARE = 0.34;
/** Retry-After bounds in milliseconds. */
const MIN_RETRY_AFTER_MS = 300;
const MAX_RETRY_AFTER_MS = 2000;
/** What is told when no target is known. */
const NO_TARGET_RETRY_AFTER_MS = 1000;
/** Weight of one request in the average of tokens to read. */
const AVERAGE_WEIGHT = 0.05;

/** Cost of a request for its team's share: a token read counts once, a token generated twice. */
const costOf = ({prompt}: PlacedAsk): number => prompt ? prompt.tokens + (2 * prompt.outputTokens) : 1;

type Message<Kind extends PlacementMessage['kind']> = Extract<PlacementMessage, {kind: Kind}>;

export type ServicePlacementOptions = {
	readonly service: RoutedService;
	readonly bounds: FleetBounds;
	/** Name of this VM and of all VMs, this one included. */
	readonly vm: string;
	readonly vms: () => readonly string[];
	readonly dataCentre: string;
	readonly createGrantId: () => string;
	/** What the other VMs report. */
	readonly fleet: FleetLoads;
};

type Candidate = {
	readonly target: PlacedTarget;
	readonly newTokens: number;
	readonly reason: PlacementReason;
	readonly price: number;
};

/** A target that keeps shared parts of a prompt. */
type Keeper = {
	readonly target: PlacedTarget;
	readonly tokens: number;
};

export class ServicePlacement {
	#service: RoutedService;
	readonly #options: ServicePlacementOptions;
	readonly #targets = new Map<string, PlacedTarget>();
	readonly #waiting = new Map<string, PlacedAsk[]>();
	readonly #use: TeamUse = createTeamUse();
	readonly #prompts: PromptRecord = createPromptRecord();
	readonly #readRate: ReadRate = createReadRate();
	#out: ReadonlySet<string> = new Set();
	#averageNewTokens = 0;
	#averageCost = 0;

	constructor(options: ServicePlacementOptions) {
		this.#options = options;
		this.#service = options.service;
	}

	/** Asks that wait. */
	get waiting(): number {
		return [...this.#waiting.values()].reduce((sum, asks) => sum + asks.length, 0);
	}

	/** What this VM reports of its requests at each target. */
	targetLoads(): readonly TargetLoad[] {
		return this.targets().filter(({running}) => running > 0).map(({record, running, readingTokens, heldTokens}) => ({
			target: record.id, running, readingTokens, heldTokens,
		}));
	}

	/** What this VM reports of its teams. */
	teamLoads(nowMs: number): readonly TeamLoad[] {
		const teams = new Set([...this.#use.teams(nowMs), ...this.#waiting.keys()]);
		return [...teams].map(team => ({
			service: this.#service.name, team, use: this.#use.of(team, nowMs), waits: this.#hasWaited(team, nowMs),
		}));
	}

	targets(): readonly PlacedTarget[] {
		return [...this.#targets.values()];
	}

	handle(message: PlacementMessage, nowMs: number): readonly PlacementEffect[] {
		switch (message.kind) {
			case 'service': {
				this.#service = message.service;
				return [];
			}

			case 'target': {
				this.#onTarget(message.target, nowMs);
				return this.#dispatch(nowMs);
			}

			case 'target-gone': {
				this.#targets.delete(message.id);
				this.#prompts.forget(message.id);
				return [];
			}

			case 'data-centres-out': {
				this.#out = message.names;
				return [];
			}

			case 'ask': {
				return this.#onAsk(message.ask, nowMs);
			}

			case 'withdraw': {
				this.#withdraw(message.requestId);
				return [];
			}

			case 'end': {
				this.#onEnd(message, nowMs);
				return this.#dispatch(nowMs);
			}

			case 'observe': {
				this.#onObserve(message, nowMs);
				return this.#dispatch(nowMs);
			}

			case 'unreachable': {
				this.#targets.get(message.target)?.noteUnreachable();
				return [];
			}

			case 'tick': {
				return [...this.#expire(nowMs), ...this.#dispatch(nowMs)];
			}
		}
	}

	#onTarget(record: TargetRecord, nowMs: number): void {
		const known = this.#targets.get(record.id);
		if (!known) {
			this.#targets.set(record.id, new PlacedTarget(record, nowMs));
		} else if (known.update(record, nowMs)) {
			this.#prompts.forget(record.id);
		}
	}

	#onAsk(ask: PlacedAsk, nowMs: number): readonly PlacementEffect[] {
		if (this.#usable(ask, nowMs).length === 0) {
			return [{kind: 'reject', ask, reason: 'no-target', retryAfterMs: NO_TARGET_RETRY_AFTER_MS}];
		}

		const queue = this.#waiting.get(ask.team);
		if (queue) {
			// Earliest latency target first.
			const index = queue.findIndex(other => other.arrivedMs + other.targetLatencyMs > ask.arrivedMs + ask.targetLatencyMs);
			queue.splice(index === -1 ? queue.length : index, 0, ask);
		} else {
			this.#waiting.set(ask.team, [ask]);
		}

		return this.#dispatch(nowMs);
	}

	#withdraw(requestId: string): void {
		for (const [team, queue] of this.#waiting) {
			const rest = queue.filter(ask => ask.requestId !== requestId);
			this.#setQueue(team, rest);
		}
	}

	#setQueue(team: string, queue: PlacedAsk[]): void {
		if (queue.length === 0) {
			this.#waiting.delete(team);
		} else {
			this.#waiting.set(team, queue);
		}
	}

	#onEnd({grantId, target: id, result}: Message<'end'>, nowMs: number): void {
		const target = this.#targets.get(id);
		if (!target) {
			return;
		}

		target.end(grantId);
		if (result.kind === 'failed' || result.kind === 'overloaded') {
			target.noteFailed(nowMs);
		} else if (result.kind === 'answered') {
			target.noteAnswered();
		}
	}

	#onObserve({grantId, target: id, observation}: Message<'observe'>, nowMs: number): void {
		const target = this.#targets.get(id);
		if (!target) {
			return;
		}

		switch (observation.kind) {
			case 'load': {
				target.noteLoad(observation.load, nowMs);
				break;
			}

			case 'first-token': {
				const backlog = target.readingTokens;
				const placed = target.noteFirstToken(grantId);
				if (placed) {
					this.#readRate.note(Math.max(placed.newTokens, backlog / 2), nowMs - placed.sentMs);
				}

				break;
			}

			case 'misdirected': {
				target.isMisdirected = true;
				break;
			}
		}
	}

	/** Requests a second that this VM may send to one cold target. */
	#coldLimit(target: string): number {
		const {bounds, vm, vms} = this.#options;
		const total = Math.floor((this.#service.coldPerS * bounds.coldFactor) + bounds.coldSlack);
		const names = vms();
		if (names.length <= total) {
			return Math.floor(total / names.length);
		}

		const own = hash32(`${target}|${vm}`);
		const before = names.filter(name => name !== vm && hash32(`${target}|${name}`) > own).length;
		return before < total ? 1 : 0;
	}

	#isUsable(target: PlacedTarget, ask: PlacedAsk, nowMs: number): boolean {
		const {record} = target;
		return !record.isDraining && !target.isMisdirected && !this.#out.has(record.dataCentre) && !ask.tried.includes(record.id)
			&& (!target.isCold(nowMs) || this.#service.coldPerS === 0 || target.hasColdRoom(this.#coldLimit(record.id), nowMs));
	}

	#usable(ask: PlacedAsk, nowMs: number): readonly PlacedTarget[] {
		const all = this.targets().filter(target => !target.record.isDraining && !target.isMisdirected && !this.#out.has(target.record.dataCentre));
		const untried = all.filter(({record}) => !ask.tried.includes(record.id));
		const failing = untried.filter(target => target.isPassedOver(nowMs)).toSorted((a, b) => b.failuresInRow - a.failuresInRow);
		const passedOver = new Set(failing.slice(0, Math.floor(untried.length * MAX_PASSED_OVER_SHARE)));
		return untried.filter(target => !passedOver.has(target));
	}

	/** Memory and slots bound what a model engine takes; a plain target takes what it has slots for. */
	#hasRoom(target: PlacedTarget, ask: PlacedAsk, nowMs: number): boolean {
		const others = this.#othersAt(target, nowMs).running;
		const {engine} = this.#service;
		if (!ask.prompt || !engine) {
			return target.running + others < target.record.slots * 2;
		}

		const held = ask.prompt.tokens + ask.prompt.outputTokens;
		const tokens = target.heldTokens + this.#othersAt(target, nowMs).heldTokens + held;
		return target.running + others < Math.max(1, engine.slots * RUNNING_SHARE) && (target.running + others === 0 || tokens <= engine.kvCapacityTokens * MEMORY_SHARE);
	}

	/** Other VMs' requests at a target: as they report, or as its answers tell while VMs are not heard. */
	#othersAt(target: PlacedTarget, nowMs: number): Omit<TargetLoad, 'target'> {
		const {fleet, vms} = this.#options;
		const reported = fleet.at(target.record.id);
		if (fleet.heard + 1 >= vms().length) {
			return reported;
		}

		const running = Math.max(reported.running, target.othersRunning(nowMs));
		const unheard = running - reported.running;
		const heldEach = target.running > 0 ? target.heldTokens / target.running : 0;
		return {
			running,
			readingTokens: reported.readingTokens + (Math.min(unheard, target.reportedWaiting(nowMs)) * this.#averageNewTokens),
			heldTokens: reported.heldTokens + (unheard * heldEach),
		};
	}

	#candidate(target: PlacedTarget, ask: PlacedAsk, keeper: Keeper | undefined, nowMs: number): Candidate {
		const {prompt} = ask;
		const others = this.#othersAt(target, nowMs);
		const own = prompt ? this.#prompts.keptTokens(target.record.id, prompt, nowMs) : 0;
		const isKeeper = keeper?.target === target;
		const copies = keeper !== undefined && !isKeeper && keeper.tokens >= own + MIN_COPY_TOKENS;
		const keptTokens = isKeeper || copies ? Math.max(own, keeper.tokens) : own;
		const newTokens = prompt ? Math.max(0, prompt.tokens - keptTokens) : 0;
		const backlog = target.readingTokens + others.readingTokens;
		const predictedMs = (backlog + newTokens) / this.#readRate.tokensPerMs();
		const isElsewhere = target.record.dataCentre !== this.#options.dataCentre;
		return {
			target,
			newTokens,
			price: predictedMs + ((target.running + others.running) * RUNNING_PRICE_MS) + (isElsewhere ? OTHER_DATA_CENTRE_PRICE_MS : 0) + (copies ? COPY_PRICE_MS : 0),
			reason: {
				predictedMs,
				keptTokens,
				running: target.running,
				othersRunning: others.running,
				isCold: target.isCold(nowMs),
				waitedMs: nowMs - ask.arrivedMs,
				copyFrom: copies ? keeper.target.record : undefined,
			},
		};
	}

	/**
	 * The target that keeps most of the prompt: by what was sent there, else the home of
	 * its shared parts, which all VMs choose alike by a hash.
	 */
	#keeperOf({prompt}: PlacedAsk, usable: readonly PlacedTarget[], nowMs: number): Keeper | undefined {
		const key = prompt && sharedKeys(prompt).at(-1);
		if (!prompt || key === undefined) {
			return undefined;
		}

		const warm = usable.filter(target => !target.isCold(nowMs));
		const home = warm.toSorted((a, b) => hash32(`${key}|${b.record.id}`) - hash32(`${key}|${a.record.id}`))[0];
		return home && {target: home, tokens: prompt.parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0)};
	}

	/** The target at which the request costs least, among those that can start it in time. */
	#choose(ask: PlacedAsk, nowMs: number): Candidate | undefined {
		const usable = this.#usable(ask, nowMs);
		const keeper = this.#service.engine?.canCopyPrompts ? this.#keeperOf(ask, usable, nowMs) : undefined;
		return usable
			.filter(target => this.#isUsable(target, ask, nowMs) && this.#hasRoom(target, ask, nowMs))
			.map(target => this.#candidate(target, ask, keeper, nowMs))
			.filter(({reason, newTokens}) => this.#startsInTime(ask, reason, newTokens))
			.toSorted((a, b) => a.price - b.price)[0];
	}

	/** A large prompt that cannot be in time by itself is started when little is ahead of it, rather than never. */
	#startsInTime(ask: PlacedAsk, {predictedMs, waitedMs}: PlacementReason, newTokens: number): boolean {
		const ownMs = newTokens / this.#readRate.tokensPerMs();
		return waitedMs + predictedMs <= ask.targetLatencyMs * START_SHARE
			|| predictedMs - ownMs <= Math.min(ask.targetLatencyMs * LARGE_BACKLOG_SHARE, ownMs);
	}

	/** Starts what can start, the team that is furthest behind first. */
	#dispatch(nowMs: number): readonly PlacementEffect[] {
		const effects: PlacementEffect[] = [];
		const blocked = new Set<string>();
		if (this.#waiting.size === 0) {
			return effects;
		}

		const ceiling = this.#useCeiling(nowMs);
		while (true) {
			const team = this.#least([...this.#waiting.keys()].filter(name => !blocked.has(name)), nowMs);
			const queue = team === undefined ? undefined : this.#waiting.get(team);
			if (team === undefined || !queue || this.#useOf(team, nowMs) > ceiling) {
				return effects;
			}

			const start = this.#firstStart(queue, nowMs);
			if (start) {
				this.#setQueue(team, queue.filter(ask => ask !== start.ask));
				effects.push(this.#grant(start.ask, start.candidate, nowMs));
			} else {
				blocked.add(team);
			}
		}
	}

	/** Whether the team has waited long enough that its wait is no accident of one moment. */
	#hasWaited(team: string, nowMs: number): boolean {
		return this.#waiting.get(team)?.some(ask => nowMs - ask.arrivedMs > WAITS_AFTER_MS) ?? false;
	}

	/** What a team received through all VMs. */
	#useOf(team: string, nowMs: number): number {
		return this.#use.of(team, nowMs) + this.#options.fleet.use(this.#service.name, team, nowMs);
	}

	#least(teams: readonly string[], nowMs: number): string | undefined {
		let least: string | undefined;
		let leastUse = Infinity;
		for (const team of teams) {
			const use = this.#useOf(team, nowMs);
			if (use < leastUse) {
				least = team;
				leastUse = use;
			}
		}

		return least;
	}

	/** Use beyond which a team lets the teams go first that wait at other VMs. */
	#useCeiling(nowMs: number): number {
		const waiting = this.#options.fleet.waitingElsewhere(this.#service.name);
		const uses = [...waiting].map(team => this.#useOf(team, nowMs));
		return uses.length === 0 ? Infinity : (Math.min(...uses) * LEAD_FACTOR) + (this.#averageCost * LEAD_REQUESTS);
	}

	#firstStart(queue: readonly PlacedAsk[], nowMs: number): {readonly ask: PlacedAsk; readonly candidate: Candidate} | undefined {
		for (const ask of queue.slice(0, LOOK_AHEAD)) {
			const candidate = this.#choose(ask, nowMs);
			if (candidate) {
				return {ask, candidate};
			}
		}

		return undefined;
	}

	#grant(ask: PlacedAsk, {target, newTokens, reason}: Candidate, nowMs: number): PlacementEffect {
		const grantId = this.#options.createGrantId();
		const {prompt} = ask;
		const heldTokens = prompt ? prompt.tokens + prompt.outputTokens : 0;
		target.place(grantId, {
			newTokens, heldTokens, isReading: prompt !== undefined, sentMs: nowMs,
		}, nowMs);
		if (prompt) {
			this.#prompts.noteSent(target.record.id, prompt, nowMs);
			this.#averageNewTokens += (newTokens - this.#averageNewTokens) * AVERAGE_WEIGHT;
		}

		const cost = costOf(ask);
		this.#use.add(ask.team, cost, nowMs);
		this.#averageCost += (cost - this.#averageCost) * AVERAGE_WEIGHT;
		return {
			kind: 'grant', ask, grantId, target: target.record, because: reason,
		};
	}

	#expire(nowMs: number): readonly PlacementEffect[] {
		const effects: PlacementEffect[] = [];
		for (const [team, queue] of this.#waiting) {
			const late = queue.filter(ask => nowMs >= Math.min(ask.deadlineMs, ask.arrivedMs + (ask.targetLatencyMs * WAIT_SHARE)));
			if (late.length > 0) {
				this.#setQueue(team, queue.filter(ask => !late.includes(ask)));
				effects.push(...late.map(ask => ({
					kind: 'reject', ask, reason: 'too-late', retryAfterMs: this.#retryAfterMs(),
				} as const)));
			}
		}

		return effects;
	}

	/** Time until what is being read now has been read, on average over the targets. */
	#retryAfterMs(): number {
		const targets = this.targets();
		const tokens = targets.reduce((sum, target) => sum + target.readingTokens, 0) / Math.max(1, targets.length);
		return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, tokens / this.#readRate.tokensPerMs()));
	}
}
